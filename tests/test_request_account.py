import attrs
import pytest

from _online_fakes import Fleet, refusal
from pomeloshift.config import Configuration, ServiceConfig, ServiceKind
from pomeloshift.entry.burn import RequestCounters
from pomeloshift.entry.online import FinishedRequest
from pomeloshift.errors import ErrorCode
from pomeloshift.metrics import Metrics
from pomeloshift.model import Instance, InstanceRole, LoadReport, Place
from pomeloshift.wire import SidecarReport

PLACE = Place("gorenjska", "kranj-a")
FINISHED = FinishedRequest(
    "r1",
    "team",
    "lm",
    duration_s=2.2,
    first_token_s=0.2,
    tokens=101,
    attempts=1,
    backend_server="b1",
    region="gorenjska",
)
CFG = Configuration(
    "vezi", services=(ServiceConfig("lm"), ServiceConfig("desk", ServiceKind.PLAIN))
)


class CountersHarness:
    """Request counters, with the samples that they passed on in ``samples``."""

    def __init__(self, batch_streams):
        instance = Instance("b1", InstanceRole.BACKEND_SERVER, PLACE, "h:1")
        load = LoadReport(batch_streams=batch_streams)
        report = SidecarReport(instance, 1, 1, 1, load)
        self.samples = []
        self.metrics = Metrics("entry")
        self.counters = RequestCounters(
            "gorenjska",
            self.metrics,
            self.samples.append,
            lambda: {"b1": report},
            lambda: CFG,
        )


@pytest.fixture
def harness():
    return CountersHarness(batch_streams=7)


def test_streamed_response_is_counted_with_its_times(harness):
    harness.counters.finished(FINISHED)
    (sample,) = harness.samples
    assert sample.first_token_s == 0.2
    assert sample.between_tokens_s == pytest.approx(0.02)
    assert sample.batch_streams == 7
    assert (sample.retries, sample.crossed_region) == (0, False)
    labels = {"service": "lm", "class_": "online"}
    assert harness.metrics.get("requests_total", outcome="ok", **labels) == 1
    assert harness.metrics.get("tokens_total", **labels) == 101
    assert harness.metrics.get("first_token_seconds", **labels)["count"] == 1


def test_retries_and_a_crossed_region_are_recorded(harness):
    harness.counters.finished(attrs.evolve(FINISHED, attempts=3, region="stajerska"))
    (sample,) = harness.samples
    assert (sample.retries, sample.crossed_region) == (2, True)
    assert harness.metrics.get("retries_total", service="lm") == 2


def test_unstreamed_response_has_times_only_for_a_plain_service(harness):
    harness.counters.finished(attrs.evolve(FINISHED, stream=False))
    harness.counters.finished(attrs.evolve(FINISHED, service="desk", stream=False))
    unstreamed, plain = harness.samples
    assert (unstreamed.first_token_s, unstreamed.between_tokens_s) == (None, None)
    assert (plain.first_token_s, plain.between_tokens_s) == (0.2, None)


def test_error_is_counted_by_its_code(harness):
    harness.counters.finished(attrs.evolve(FINISHED, error=ErrorCode.OVERLOADED))
    assert harness.samples[0].error is ErrorCode.OVERLOADED
    labels = {"service": "lm", "class_": "online", "outcome": "overloaded"}
    assert harness.metrics.get("requests_total", **labels) == 1


def test_disconnected_caller_spends_no_error_budget(harness):
    harness.counters.finished(attrs.evolve(FINISHED, caller_gone=True))
    assert harness.samples == []
    labels = {"service": "lm", "class_": "online", "outcome": "caller_gone"}
    assert harness.metrics.get("requests_total", **labels) == 1


def test_finished_request_names_its_attempts_and_backend_server(reactor, run_async):
    async def check():
        fleet = Fleet(reactor, sidecars=2)
        try:
            await fleet.chat()
            for sidecar in fleet.sidecars:
                sidecar.refusal = refusal()
            await fleet.chat()
            return fleet.finished, {s.instance.name for s in fleet.sidecars}
        finally:
            await fleet.stop()

    (first, retried), names = run_async(check())
    assert first.attempts == 1
    assert first.stream
    assert first.region
    assert retried.attempts == 2
    assert {first.backend_server, retried.backend_server} <= names


def test_joining_a_running_attempt_is_no_retry(reactor, run_async):
    async def check():
        fleet = Fleet(reactor, sidecars=1)
        try:
            fleet.sidecars[0].hanging_accepts = 1
            await fleet.chat()
            return fleet.finished, len(fleet.sidecars[0].requests)
        finally:
            await fleet.stop()

    (finished,), connections = run_async(check())
    assert connections == 2
    assert finished.attempts == 1
