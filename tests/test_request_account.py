import attrs
import pytest

from _online_fakes import Fleet, refusal
from pomeloshift.config import Configuration, ServiceConfig, ServiceKind
from pomeloshift.entry.burn import RequestAccount
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


class Account:
    """A request account with what it told the burn recorder."""

    def __init__(self, batch_streams):
        instance = Instance("b1", InstanceRole.BACKEND_SERVER, PLACE, "h:1")
        load = LoadReport(batch_streams=batch_streams)
        report = SidecarReport(instance, 1, 1, 1, load)
        self.samples = []
        self.metrics = Metrics("entry")
        self.account = RequestAccount(
            "gorenjska",
            self.metrics,
            self.samples.append,
            lambda: {"b1": report},
            lambda: CFG,
        )


@pytest.fixture
def busy():
    return Account(batch_streams=7)


def test_streamed_answer_is_counted_with_its_times(busy):
    busy.account.finished(FINISHED)
    (sample,) = busy.samples
    assert sample.first_token_s == 0.2
    assert sample.between_tokens_s == pytest.approx(0.02)
    assert sample.batch_streams == 7
    assert (sample.retries, sample.crossed_region) == (0, False)
    labels = {"service": "lm", "class_": "online"}
    assert busy.metrics.get("requests_total", outcome="ok", **labels) == 1
    assert busy.metrics.get("tokens_total", **labels) == 101
    assert busy.metrics.get("first_token_seconds", **labels)["count"] == 1


def test_retries_and_the_paid_link_are_told(busy):
    busy.account.finished(attrs.evolve(FINISHED, attempts=3, region="stajerska"))
    (sample,) = busy.samples
    assert (sample.retries, sample.crossed_region) == (2, True)
    assert busy.metrics.get("retries_total", service="lm") == 2


def test_answer_in_one_piece_has_no_times_but_a_plain_reply_has(busy):
    busy.account.finished(attrs.evolve(FINISHED, stream=False))
    busy.account.finished(attrs.evolve(FINISHED, service="desk", stream=False))
    whole, plain = busy.samples
    assert (whole.first_token_s, whole.between_tokens_s) == (None, None)
    assert (plain.first_token_s, plain.between_tokens_s) == (0.2, None)


def test_error_is_counted_by_its_code(busy):
    busy.account.finished(attrs.evolve(FINISHED, error=ErrorCode.OVERLOADED))
    assert busy.samples[0].error is ErrorCode.OVERLOADED
    labels = {"service": "lm", "class_": "online", "outcome": "overloaded"}
    assert busy.metrics.get("requests_total", **labels) == 1


def test_caller_that_left_spends_no_budget(busy):
    busy.account.finished(attrs.evolve(FINISHED, caller_gone=True))
    assert busy.samples == []
    labels = {"service": "lm", "class_": "online", "outcome": "caller_gone"}
    assert busy.metrics.get("requests_total", **labels) == 1


def test_entry_tells_attempts_and_backend_server(reactor, run_async):
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

    (whole, refused), names = run_async(check())
    assert whole.attempts == 1
    assert whole.stream
    assert whole.region
    assert refused.attempts == 2
    assert {whole.backend_server, refused.backend_server} <= names


def test_joined_attempt_is_no_retry(reactor, run_async):
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
