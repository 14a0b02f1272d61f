"""Which faults can strike at which steps."""

from ._fault import Fault
from ._step import PART_OF_STEP, Part, Step

NO_LOG_IN_ORDERS = "orders use a lease that was granted before"
NOT_A_CALLERS_STEP = "no caller's request or answer takes part in this step"
NO_ONLINE_ANSWER = "no numbered answer of an engine to an entry is part of this step"
ONE_OPERATOR = "no configuration is published in this scenario"
CHECKS_HERE = "only engine orders carry fencing numbers"
NO_LIST = "the holder of a lease is not chosen by the live list"
NO_EXPIRY = "no state is read from the log again in this scenario"
NO_POISON = "no request runs on an engine in this scenario"
ONE_REGION = "an order's holder is beside its engine, in the same region"

_ONLY_PARTS = {
    Fault.DUPLICATE_SUBMIT: ({Part.BATCH, Part.ONLINE}, NOT_A_CALLERS_STEP),
    Fault.CROSSED_ANSWERS: ({Part.ONLINE}, NO_ONLINE_ANSWER),
    Fault.CONFLICTING_OPERATORS: ({Part.CONFIG}, ONE_OPERATOR),
    Fault.IGNORES_FENCING: ({Part.ORDERS}, CHECKS_HERE),
    Fault.STALE_LIST: ({Part.BATCH, Part.ONLINE, Part.CONFIG}, NO_LIST),
    Fault.POISON_REQUEST: ({Part.BATCH, Part.ONLINE}, NO_POISON),
    Fault.REGION_PARTITION: ({Part.BATCH, Part.ONLINE, Part.CONFIG}, ONE_REGION),
    Fault.LOG_DOWN: ({Part.BATCH, Part.ONLINE, Part.CONFIG}, NO_LOG_IN_ORDERS),
    Fault.LOG_SLOW: ({Part.BATCH, Part.ONLINE, Part.CONFIG}, NO_LOG_IN_ORDERS),
}


def reason_against(step: Step, fault: Fault) -> str | None:
    """Returns why a fault cannot strike at a step, or `None` if it can."""
    if fault is Fault.LOG_EXPIRY:
        return None if _reads_the_log_again(step) else NO_EXPIRY
    if fault not in _ONLY_PARTS:
        return None
    parts, reason = _ONLY_PARTS[fault]
    return None if PART_OF_STEP[step] in parts else reason


def _reads_the_log_again(step: Step) -> bool:
    is_call = step in (Step.CALL_CLAIM, Step.CALL_RUN)
    return is_call or PART_OF_STEP[step] in (Part.BATCH, Part.CONFIG)
