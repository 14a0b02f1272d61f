import json
from random import Random

import pytest

from _admin import INTERNAL_KEY, SECRETS, Harness, Loop, questionnaire
from pomeloshift.cli._admin_client import AdminClient
from pomeloshift.cli._burn import report_burn
from pomeloshift.cli._connect import run_and_print_errors
from pomeloshift.entry.burn import BurnService, BurnTiming
from pomeloshift.model import Instance, InstanceRole, Place
from pomeloshift.net import SystemClock
from pomeloshift.report import BURN_STREAM, RequestSample
from pomeloshift.standins.log import LogFaults, LogModel, LogSettings, MemoryLog

GOOD = RequestSample("vezi-lm", "order-desk", first_token_s=0.2)


@pytest.fixture
def entries(reactor, run_async):
    loop = Loop(reactor, run_async)
    pair = [Harness(loop), Harness(loop)]
    for harness in pair:
        harness.publish(0, token=INTERNAL_KEY)
    first = pair[0]
    place = Place("gorenjska", "kranj-a")
    first.peers.append(
        Instance("e2", InstanceRole.ENTRY, place, pair[1].listener.address)
    )
    yield pair
    for harness in pair:
        loop.run(harness.listener.stop)


def objective(report, indicator="first_token"):
    (found,) = (
        item
        for item in report["objectives"]
        if item["indicator"] == indicator and not item["workspace"]
    )
    return found


def test_report_merges_the_counts_of_all_entries(entries):
    for harness in entries:
        harness.burn.record(GOOD)
    report = entries[0].ok("GET", "/burn", role="viewer")
    assert objective(report)["windows"][0]["good"] == 2
    assert report["entries"] == ["e1", "e2"]
    pending = entries[1].ok("GET", "/burn/pending", token=INTERNAL_KEY)
    assert len(pending["cells"]) == 1


def test_unreachable_entry_is_listed_in_the_report(entries):
    entries[0].burn.record(GOOD)
    entries[0].loop.run(entries[1].listener.stop)
    report = entries[0].ok("GET", "/burn")
    assert report["unreachable"] == ["e2"]
    assert objective(report)["windows"][0]["good"] == 1


def test_stored_summaries_are_counted_once(entries):
    first = entries[0]
    first.burn.record(GOOD)
    first.model.faults = LogFaults(lost_answers=1)
    first.loop.run(first.burn.flush)
    assert first.model.lost_answers == 1
    first.burn.record(GOOD)
    assert objective(first.ok("GET", "/burn"))["windows"][0]["good"] == 2


def test_counts_are_retained_while_the_log_is_down(entries):
    first = entries[0]
    first.burn.record(GOOD)
    first.model.faults = LogFaults(is_down=True)
    first.loop.run(first.burn.stop)
    assert objective(first.ok("GET", "/burn"))["windows"][0]["good"] == 1
    first.model.faults = LogFaults()
    first.loop.run(first.burn.flush)
    assert not first.burn.pending().cells


def test_stored_counts_outlive_their_entry(entries):
    first = entries[0]
    first.burn.record(GOOD)
    first.loop.run(first.burn.stop)
    late = BurnService(
        "e9",
        MemoryLog(first.model, SystemClock().monotonic),
        SystemClock(),
        first.loop.reactor,
        Random(1),
        lambda: [],
        lambda: first.config.current,
    )
    report = first.loop.run(late.report)
    assert report.objectives[0].windows[0].good == 1


def test_summaries_of_many_entries_stay_below_one_append_a_second():
    timing = BurnTiming()
    assert timing.interval(4) == 60
    for count in (1, 60, 2300):
        assert count / timing.interval(count) <= 1


def test_command_prints_json_and_writes_a_page(entries, tmp_path, capsys):
    first = entries[0]
    first.burn.record(GOOD)
    page = tmp_path / "burn.html"
    token = f"op-viewer.{SECRETS['viewer']}"
    client = AdminClient(f"http://{first.listener.address}", token, first.loop.reactor)

    def run(as_json, html=""):
        coroutine = run_and_print_errors(
            lambda c: report_burn(c, as_json, html), client
        )
        assert first.loop.run(lambda: coroutine) == 0
        return capsys.readouterr().out

    assert objective(json.loads(run(True)))["windows"][0]["good"] == 1
    assert "95% first token within 0.7 s" in run(False, str(page))
    assert "<svg" in page.read_text()


def test_report_before_the_first_publication_is_refused(reactor, run_async):
    loop = Loop(reactor, run_async)
    harness = Harness(loop)
    error = harness.error("GET", "/burn", token=INTERNAL_KEY)
    assert error["code"] == "not_ready"
    loop.run(harness.listener.stop)


def test_rollup_outlives_the_expiry_of_its_summaries(reactor, run_async):
    loop = Loop(reactor, run_async)
    model = LogModel(LogSettings(), Random(1))

    class Clock(SystemClock):
        offset = 0.0

        def wall(self):
            return 1_700_000_000.0 + self.offset

    clock = Clock()
    harness = Harness(loop)
    harness.publish(0, questionnaire(), token=INTERNAL_KEY)

    def service(name):
        log = MemoryLog(model, clock.monotonic)
        current = lambda: harness.config.current
        return BurnService(
            name, log, clock, loop.reactor, Random(name), lambda: [], current
        )

    first = service("e1")
    first.record(GOOD)
    loop.run(first.flush)
    clock.offset = 3 * 3600.0
    loop.run(first._roll_up)
    model.expire_before(BURN_STREAM, 1)
    report = loop.run(service("e2").report)
    assert report.objectives[0].windows[-1].good == 1
    loop.run(harness.listener.stop)
