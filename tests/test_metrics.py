import pathlib
import re

import pytest

import pomeloshift
from pomeloshift.metrics import CATALOGUE, MetricError, MetricKind, Metrics

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"\| `(\S+)` \| (\w+) \| (.*?) \| (.*?) \| (.*?) \|")
USE = re.compile(r"metrics\s*\.(inc|set|observe)\(\s*\"(\w+)\"")
KIND_BY_METHOD = {
    "inc": MetricKind.COUNTER,
    "set": MetricKind.GAUGE,
    "observe": MetricKind.HISTOGRAM,
}


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


def test_names_follow_the_custom():
    names = [spec.name for spec in CATALOGUE]
    assert len(set(names)) == len(names)
    for spec in CATALOGUE:
        assert spec.name.endswith("_total") == (spec.kind is MetricKind.COUNTER)
        assert bool(spec.buckets) == (spec.kind is MetricKind.HISTOGRAM)


def test_every_use_in_the_code_is_in_the_catalogue():
    kinds = {spec.name: spec.kind for spec in CATALOGUE}
    package = pathlib.Path(pomeloshift.__file__).parent
    for path in package.rglob("*.py"):
        for method, name in USE.findall(path.read_text()):
            assert kinds.get(name) is KIND_BY_METHOD[method], (path, name)


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
def test_misuse_is_refused(metrics, use):
    with pytest.raises(MetricError):
        use(metrics)


def test_processes_do_not_share_values(metrics):
    metrics.set("config_version", 7)
    other = Metrics("entry")
    with pytest.raises(KeyError):
        other.get("config_version")
