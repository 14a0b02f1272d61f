"""Decides which faults apply at which steps."""

from ._fault import Fault
from ._step import WORKLOAD_BY_STEP, Step, Workload

LEASE_ALREADY_GRANTED = "engine commands use a lease that was granted before the fault"
NO_CALLER_REQUEST = "this step involves no request or response of a caller"
NO_FRAMES = "this step sends no numbered frames from a sidecar to an entry"
NO_PUBLICATION = "no configuration is published in this scenario"
NO_FENCING_TOKEN = "only engine commands carry fencing tokens"
NO_INSTANCE_LIST = "the instance list does not determine the holder of a lease"
NO_REPLAY = "this scenario replays no state from the log"
NO_ENGINE_REQUEST = "this scenario runs no request on an engine"
SINGLE_REGION = "the lease holder and its engine are in the same region"

_REQUIRED_WORKLOADS = {
    Fault.DUPLICATE_SUBMIT: ({Workload.BATCH, Workload.ONLINE}, NO_CALLER_REQUEST),
    Fault.CROSSED_ANSWERS: ({Workload.ONLINE}, NO_FRAMES),
    Fault.CONFLICTING_OPERATORS: ({Workload.CONFIG}, NO_PUBLICATION),
    Fault.IGNORES_FENCING: ({Workload.ENGINE_COMMANDS}, NO_FENCING_TOKEN),
    Fault.STALE_LIST: (
        {Workload.BATCH, Workload.ONLINE, Workload.CONFIG},
        NO_INSTANCE_LIST,
    ),
    Fault.POISON_REQUEST: ({Workload.BATCH, Workload.ONLINE}, NO_ENGINE_REQUEST),
    Fault.REGION_PARTITION: (
        {Workload.BATCH, Workload.ONLINE, Workload.CONFIG},
        SINGLE_REGION,
    ),
    Fault.LOG_DOWN: (
        {Workload.BATCH, Workload.ONLINE, Workload.CONFIG},
        LEASE_ALREADY_GRANTED,
    ),
    Fault.LOG_SLOW: (
        {Workload.BATCH, Workload.ONLINE, Workload.CONFIG},
        LEASE_ALREADY_GRANTED,
    ),
}


def exclusion_reason(step: Step, fault: Fault) -> str | None:
    """Returns why a fault does not apply at a step, or `None` if it does."""
    if fault is Fault.LOG_EXPIRY:
        return None if _replays_the_log(step) else NO_REPLAY
    if fault not in _REQUIRED_WORKLOADS:
        return None
    workloads, reason = _REQUIRED_WORKLOADS[fault]
    return None if WORKLOAD_BY_STEP[step] in workloads else reason


def _replays_the_log(step: Step) -> bool:
    is_call = step in (Step.CALL_CLAIM, Step.CALL_RUN)
    return is_call or WORKLOAD_BY_STEP[step] in (Workload.BATCH, Workload.CONFIG)
