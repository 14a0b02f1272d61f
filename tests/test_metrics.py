import pathlib
import re
from array import array
from functools import partial
from random import Random

import pytest

import pomeloshift
from pomeloshift.admin import InstanceView
from pomeloshift.batch import JobState
from pomeloshift.entry._collector import EntryCollector
from pomeloshift.entry._metered_log import MeteredLog
from pomeloshift.log import LogUnavailableError
from pomeloshift.metrics import CATALOGUE, MetricError, MetricKind, Metrics
from pomeloshift.model import Instance, InstanceRole, LoadReport, Place
from pomeloshift.net import SystemClock
from pomeloshift.sidecar._metrics import SidecarMetrics
from pomeloshift.standins.log import LogFaults, LogModel, LogSettings, MemoryLog
from pomeloshift.wire import SidecarReport

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"\| `(\S+)` \| (\w+) \| (.*?) \| (.*?) \| (.*?) \|")
USE = re.compile(r"metrics\s*\.(inc|advance|set|observe)\(\s*\"(\w+)\"")
KIND_BY_METHOD = {
    "advance": MetricKind.COUNTER,
    "inc": MetricKind.COUNTER,
    "set": MetricKind.GAUGE,
    "observe": MetricKind.HISTOGRAM,
}


def job(**fields):
    arrays = dict.fromkeys(("chunks", "first_indexes", "tokens", "results"), array("q"))
    return JobState(
        "j",
        "d",
        "w",
        "lm",
        "/v1",
        "f",
        "24h",
        1.0,
        "k",
        0.0,
        True,
        {},
        status=bytearray(10),
        **arrays,
        **fields,
    )


@pytest.fixture
def metrics():
    return Metrics("entry", name="entry-1")


def test_page_lists_the_catalogue():
    page = (ROOT / "docs/operations/metrics.md").read_text()
    listed = [match.groups() for match in ROW.finditer(page)]
    assert listed == [
        (
            spec.full_name,
            spec.kind.value,
            ", ".join(f"`{label}`" for label in spec.labels) or "none",
            ", ".join(spec.roles),
            spec.help,
        )
        for spec in CATALOGUE
    ]


def test_names_follow_the_conventions():
    names = [spec.name for spec in CATALOGUE]
    assert len(set(names)) == len(names)
    for spec in CATALOGUE:
        assert spec.name.endswith("_total") == (spec.kind is MetricKind.COUNTER)
        assert bool(spec.buckets) == (spec.kind is MetricKind.HISTOGRAM)


def test_code_and_catalogue_name_the_same_metrics():
    kinds = {spec.name: spec.kind for spec in CATALOGUE}
    package = pathlib.Path(pomeloshift.__file__).parent
    source = "".join(path.read_text() for path in package.rglob("*.py"))
    used = {name: KIND_BY_METHOD[method] for method, name in USE.findall(source)}
    used |= dict.fromkeys(re.findall(r"\(\"(\w+_seconds)\", ", source), "histogram")
    assert set(used) == set(kinds)
    for method, name in USE.findall(source):
        assert kinds[name] is KIND_BY_METHOD[method], name


def test_values_are_rendered(metrics):
    labels = {"service": "lm", "class": "online"}
    metrics.inc("requests_total", outcome="ok", **labels)
    metrics.inc("requests_total", 2, outcome="ok", **labels)
    metrics.set("config_version", 7)
    metrics.observe("first_token_seconds", 0.3, service="lm", class_="online")
    body, headers = metrics.render()
    text = body.decode()
    assert headers["Content-Type"].startswith("text/plain")
    assert (
        'pomeloshift_requests_total{class="online",instance="entry-1",'
        'outcome="ok",service="lm"} 3' in text
    )
    assert 'pomeloshift_config_version{instance="entry-1"} 7' in text
    assert 'le="0.35"' in text
    assert metrics.get("config_version") == 7


@pytest.mark.parametrize(
    "use",
    [
        lambda m: m.inc("nothing_total"),
        lambda m: m.inc("config_version"),
        lambda m: m.set("config_version", 1, place="x"),
        lambda m: m.inc("requests_total", service="lm"),
        lambda m: m.set("streams", 1, class_="online"),
    ],
)
def test_misuse_is_rejected(metrics, use):
    with pytest.raises(MetricError):
        use(metrics)


def test_sidecar_exposes_its_report():
    place = Place("r", "z")
    instance = Instance("b1", InstanceRole.BACKEND_SERVER, place, "h:1")
    load = LoadReport(online_streams=3, batch_streams=5, queued_online=2)
    report = SidecarReport(instance, 1, 1, 7, load, draining=True)
    text = SidecarMetrics("b1", lambda: report).render().decode()
    assert 'pomeloshift_streams{class="batch",instance="b1"} 5' in text
    assert 'pomeloshift_streams{class="online",instance="b1"} 3' in text
    assert 'pomeloshift_queued_streams{class="online",instance="b1"} 2' in text
    assert 'pomeloshift_draining{instance="b1"} 1' in text
    assert 'pomeloshift_engines_answer{instance="b1"} 1' in text
    assert 'pomeloshift_config_version{instance="b1"} 7' in text
    resident = re.search(r"resident_bytes\{.*?\} (\S+)", text).group(1)
    assert 10e6 < float(resident) < 10e9


def test_entry_exposes_its_fleet_and_jobs(metrics):
    views = [InstanceView("e1", "entry", "r", "z", "h:1", "live", 7)]
    running, over = job(completed=2, failed=1), job(completed=4, cancelled_at=1.0)
    collector = EntryCollector(
        metrics, lambda: views, lambda: [1, 2], lambda: 3, lambda: [running, over]
    )
    collector.collect()
    assert metrics.get("instances", role="entry", state="live") == 1
    views.clear()
    collector.collect()
    assert metrics.get("instances", role="entry", state="live") == 0
    assert metrics.get("quarantined_requests") == 2
    assert metrics.get("open_requests") == 3
    states = ("open", "cancelled", "finished")
    assert [metrics.get("jobs", state=s) for s in states] == [1, 1, 0]
    states = ("waiting", "completed", "failed")
    assert [metrics.get("batch_items", state=s) for s in states] == [7, 6, 1]


def test_log_operations_are_counted_and_timed(metrics, run_async):
    model = LogModel(LogSettings(), Random(1))
    clock = SystemClock()
    log = MeteredLog(MemoryLog(model, clock.monotonic), metrics, clock)

    async def use():
        await log.append("s", [b"a", b"b"])
        model.faults = LogFaults(is_down=True)
        with pytest.raises(LogUnavailableError):
            await log.read("s", 0)

    run_async(use())
    count = partial(metrics.get, "log_operations_total")
    assert count(operation="append", outcome="ok") == 1
    assert count(operation="read", outcome="log_unavailable") == 1
    assert metrics.get("log_records_total") == 2
    assert metrics.get("log_operation_seconds", operation="read")["count"] == 1


def test_processes_do_not_share_values(metrics):
    metrics.set("config_version", 7)
    other = Metrics("entry")
    with pytest.raises(KeyError):
        other.get("config_version")
