import pytest

from pomeloshift.admission import (
    Admission,
    AdmissionConfig,
    PullBatch,
    StartStream,
    StreamEnded,
    StreamOffered,
    Tick,
    TokensArrived,
)
from pomeloshift.model import Priority

SLOW_STEP_S = 0.5
TICK_S = 0.02


def offer(name, priority):
    return StreamOffered(name, priority, 50, 40, 1e9)


@pytest.mark.parametrize("weight", [0.0, 0.5, 1.0])
def test_batch_resumes_after_an_engine_was_slow(weight):
    admission = Admission(AdmissionConfig(batch_weight=weight))
    now = 0.0
    names = []
    for number in range(12):
        priority = Priority.ONLINE if number % 2 else Priority.BATCH
        names.append(f"s{number}")
        admission.handle(offer(names[-1], priority), now)
    for _ in range(60):
        now += SLOW_STEP_S
        for name in names:
            admission.handle(TokensArrived(name, 1), now)
        admission.handle(Tick(), now)
    for name in names:
        admission.handle(StreamEnded(name), now)

    effects = []
    for _ in range(200):
        now += TICK_S
        effects += admission.handle(Tick(), now)
    assert any(isinstance(effect, PullBatch) for effect in effects)
    started = admission.handle(offer("next", Priority.BATCH), now)
    started += admission.handle(Tick(), now + TICK_S)
    assert StartStream("next") in started
