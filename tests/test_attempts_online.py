from random import Random

import pytest

from pomeloshift.attempts import (
    AbandonAttempt,
    AttemptAccepted,
    AttemptRefused,
    CallerDisconnected,
    CallerPaused,
    CallerResumed,
    CloseConnection,
    Complete,
    ConnectionLost,
    Deliver,
    Fail,
    FrameArrived,
    OnlineRequest,
    OpenAttempt,
    RequestSpec,
    ServerFailed,
    ServerFault,
    SetTimer,
    Started,
    Target,
    Timer,
)
from pomeloshift.errors import ErrorCode, ErrorReport, Ran
from pomeloshift.model import Instance, InstanceRole, Place
from pomeloshift.wire import Frame

SERVERS = [
    Instance(name, InstanceRole.BACKEND_SERVER, Place("r", "z"), f"{name}:1")
    for name in ("s1", "s2", "s3", "s4", "s5")
]


class FakeChooser:
    def refusal(self, now):
        return None

    def choose(self, excluded, alone, now):
        free = (s for s in SERVERS if s.name not in excluded)
        server = next(free, None)
        return None if server is None else Target(server, 1)

    def is_suspect(self, now):
        return False


class FakeBudget:
    def __init__(self, retries):
        self.retries = retries

    def try_spend(self, now):
        self.retries -= 1
        return self.retries >= 0


class Driver:
    """Feeds events to the core and records its effects."""

    def __init__(self, budget=10, **fields):
        spec = RequestSpec("r", "w", "m", "POST", "/x", b"{}", 30.0, **fields)
        self.request = OnlineRequest(spec, FakeChooser(), FakeBudget(budget), Random(1))
        self.now = 0.0
        self.delivered = b""
        self.timer = None
        self.opened = []
        self.effects = []
        self.send(Started())

    def send(self, event):
        effects = self.request.handle(event, self.now)
        self.effects += effects
        for effect in effects:
            match effect:
                case Deliver():
                    self.delivered += effect.payload
                case SetTimer():
                    self.timer = effect
                case OpenAttempt():
                    self.opened.append(effect)
        return effects

    @property
    def last(self):
        return self.opened[-1]

    def accept(self):
        return self.send(AttemptAccepted(self.last.connection))

    def frame(self, sequence, payload=b"", **fields):
        frame = Frame(self.last.request.attempt_id, sequence, payload, **fields)
        return self.send(FrameArrived(self.last.connection, frame))

    def lose(self, sent=True):
        return self.send(ConnectionLost(self.last.connection, sent))

    def refuse(self, code, ran, retry_after_s=None):
        error = ErrorReport(code, "", ran, retry_after_s)
        return self.send(AttemptRefused(self.last.connection, error))

    def wait(self):
        self.now = self.timer.at
        return self.send(Timer(self.timer.number))

    def crash(self):
        """The sidecar dies: the connection ends and the next one is refused."""
        self.lose()
        return self.lose(sent=False)

    def effects_of(self, kind):
        return [e for e in self.effects if isinstance(e, kind)]

    @property
    def failure(self):
        (fail,) = self.effects_of(Fail)
        return fail.error


def test_response_is_delivered_in_order_and_completes():
    driver = Driver()
    driver.accept()
    driver.frame(0, b"a")
    driver.frame(1, b"b")
    assert driver.frame(2, total=3)[-1] == Complete()
    assert driver.delivered == b"ab"
    assert driver.request.is_done


def test_late_duplicate_and_foreign_frames_are_not_delivered():
    driver = Driver()
    driver.accept()
    driver.frame(0, b"a")
    driver.frame(0, b"a")
    foreign = Frame("other.1", 1, b"x")
    driver.send(FrameArrived(driver.last.connection, foreign))
    driver.wait()
    driver.send(FrameArrived(driver.opened[0].connection, Frame("r.1", 1, b"y")))
    assert driver.delivered == b"a"


def test_missing_acknowledgement_leads_to_a_new_connection_with_the_same_id():
    driver = Driver()
    driver.wait()
    first, second = driver.opened
    assert CloseConnection(first.connection) in driver.effects
    assert second.instance == first.instance
    assert second.request.attempt_id == first.request.attempt_id
    assert not second.request.join_only


def test_stalled_stream_resumes_at_its_next_frame():
    driver = Driver()
    driver.accept()
    driver.frame(0, b"a")
    driver.wait()
    assert driver.last.request.next_sequence == 1
    driver.accept()
    driver.frame(1, b"b", total=2)
    assert driver.delivered == b"ab"
    assert driver.effects_of(Complete)


def test_accepted_attempt_is_not_run_again_by_a_restarted_sidecar():
    driver = Driver()
    driver.accept()
    driver.frame(0, b"a")
    driver.lose()
    assert driver.last.request.join_only
    driver.refuse(ErrorCode.ATTEMPT_UNKNOWN, Ran.UNKNOWN)
    driver.wait()
    assert driver.last.request.attempt_id == "r.2"
    assert driver.last.request.next_sequence == 0
    driver.accept()
    driver.frame(0, b"b")
    assert driver.delivered == b"a"


def test_missing_frames_are_requested_again():
    driver = Driver()
    driver.accept()
    driver.frame(0, b"a")
    driver.frame(2, b"c")
    assert driver.last.request.next_sequence == 1
    assert driver.delivered == b"a"


def test_unresponsive_server_is_asked_to_join_before_the_retry_elsewhere():
    driver = Driver()
    driver.wait()
    driver.wait()
    assert driver.last.request.join_only
    driver.wait()
    assert ServerFailed(SERVERS[0], ServerFault.CRASHED) in driver.effects
    assert AbandonAttempt(SERVERS[0], "r.1") in driver.effects
    driver.wait()
    assert driver.last.instance == SERVERS[1]
    assert driver.last.request.attempt_id == "r.2"


def test_non_idempotent_call_is_only_joined_and_never_run_elsewhere():
    driver = Driver(idempotent=False)
    driver.accept()
    driver.lose()
    assert driver.last.request.join_only
    driver.lose(sent=False)
    assert len({attempt.instance.name for attempt in driver.opened}) == 1
    assert driver.failure.ran is Ran.UNKNOWN


def test_non_idempotent_call_is_retried_if_it_was_not_run():
    driver = Driver(idempotent=False)
    driver.wait()
    driver.refuse(ErrorCode.ATTEMPT_UNKNOWN, Ran.NO)
    assert driver.last.request.attempt_id == "r.2"
    assert not driver.last.request.join_only
    unsent = Driver(idempotent=False)
    unsent.lose(sent=False)
    assert ServerFailed(SERVERS[0], ServerFault.UNREACHABLE) in unsent.effects
    assert unsent.last.instance == SERVERS[1]


def test_non_idempotent_call_of_an_earlier_incarnation_ends_as_unknown():
    driver = Driver(idempotent=False)
    driver.wait()
    driver.refuse(ErrorCode.ATTEMPT_UNKNOWN, Ran.UNKNOWN)
    assert driver.failure.code is ErrorCode.OUTCOME_UNKNOWN
    assert driver.failure.ran is Ran.UNKNOWN


def test_refusal_is_retried_elsewhere_and_fails_at_once_without_budget():
    driver = Driver(budget=1)
    driver.refuse(ErrorCode.OVERLOADED, Ran.NO, 2.0)
    assert driver.last.instance == SERVERS[1]
    driver.refuse(ErrorCode.OVERLOADED, Ran.NO, 2.0)
    assert driver.now == 0.0
    assert (driver.failure.ran, driver.failure.retry_after_s) == (Ran.NO, 2.0)


def test_draining_server_is_reported_as_leaving():
    driver = Driver()
    driver.refuse(ErrorCode.DRAINING, Ran.NO)
    assert ServerFailed(SERVERS[0], ServerFault.LEAVING) in driver.effects


@pytest.mark.parametrize("code", [ErrorCode.INVALID_REQUEST, ErrorCode.QUARANTINED])
def test_errors_of_the_request_itself_are_not_retried(code):
    driver = Driver()
    driver.refuse(code, Ran.NO)
    assert driver.failure.code is code
    assert len(driver.opened) == 1


def test_request_runs_exclusively_after_a_crash_and_fails_after_the_second():
    driver = Driver()
    driver.accept()
    driver.crash()
    driver.wait()
    assert driver.last.request.alone
    driver.accept()
    driver.crash()
    assert driver.failure.code is ErrorCode.BACKEND_SERVER_LOST
    crashed = [e for e in driver.effects_of(ServerFailed)]
    assert len({e.instance.name for e in crashed}) == len(crashed) == 2


def events(*texts, created):
    chunks = [f'data: {{"created":{created},"t":"{t}"}}\n\n' for t in texts]
    return "".join(chunks).encode()


def test_response_resumes_on_another_server_if_it_repeats_what_was_delivered():
    driver = Driver()
    driver.accept()
    driver.frame(0, events("a", "b", created=1))
    driver.crash()
    driver.wait()
    assert driver.last.request.next_sequence == 0
    driver.accept()
    driver.frame(0, events("a", created=200))
    driver.frame(1, events("b", "c", created=200))
    driver.frame(2, total=3)
    assert driver.delivered == events("a", "b", created=1) + events("c", created=200)
    assert driver.effects_of(Complete)


@pytest.mark.parametrize("second", [("x", "y", "z"), ("a",)])
def test_different_response_is_never_appended_to_the_delivered_one(second):
    driver = Driver()
    driver.accept()
    driver.frame(0, events("a", "b", created=1))
    driver.crash()
    driver.wait()
    driver.accept()
    driver.frame(0, events(*second, created=1), total=1)
    assert driver.delivered == events("a", "b", created=1)
    (fail,) = driver.effects_of(Fail)
    assert fail.delivered and fail.error.ran is Ran.YES


def test_deadline_ends_the_request_and_abandons_its_attempt():
    driver = Driver()
    driver.accept()
    while not driver.request.is_done:
        driver.wait()
        if not driver.request.is_done:
            driver.accept()
    assert driver.now == 30.0
    assert driver.failure.code is ErrorCode.DEADLINE_EXCEEDED
    assert driver.failure.ran is Ran.UNKNOWN
    assert AbandonAttempt(SERVERS[0], "r.1") in driver.effects


def test_streaming_response_is_not_cut_at_the_deadline():
    driver = Driver()
    driver.accept()
    for sequence in range(40):
        driver.now += 1.0
        driver.frame(sequence, b"t")
    driver.frame(40, total=41)
    assert driver.effects_of(Complete)


def test_disconnected_caller_abandons_the_attempt():
    driver = Driver()
    driver.accept()
    effects = driver.send(CallerDisconnected())
    assert AbandonAttempt(SERVERS[0], "r.1") in effects
    assert driver.request.is_done and not driver.effects_of(Fail)


def test_slow_caller_is_not_a_stall_but_is_cancelled_after_its_limit():
    driver = Driver()
    driver.accept()
    driver.frame(0, b"a")
    driver.send(CallerPaused())
    assert driver.timer.at >= 30.0
    driver.now = 20.0
    driver.send(CallerResumed())
    assert len(driver.opened) == 1
    driver.frame(1, b"b")
    driver.send(CallerPaused())
    driver.wait()
    assert driver.failure.code is ErrorCode.CANCELLED
