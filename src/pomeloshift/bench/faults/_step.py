"""The processing steps at which faults are injected."""

from enum import Enum


class Step(Enum):
    """A step in the processing of a request, job, configuration or engine command.

    The value is the step's name in reports.
    """

    UPLOAD = "upload"
    SUBMIT_APPEND = "submit append"
    ACKNOWLEDGE = "acknowledge"
    TAKE_OVER = "partition take-over"
    PULL = "pull"
    ATTEMPT_START = "attempt start"
    RUN = "run"
    FIRST_TOKEN = "first token"
    MID_STREAM = "mid-stream"
    CALL_CLAIM = "call claim"
    CALL_RUN = "call run"
    COMPLETION_APPEND = "completion append"
    RESULT_READ = "result read"
    CANCEL = "cancel"
    CONFIG_APPEND = "configuration append"
    RELAY = "relay"
    APPLY = "apply"
    ENGINE_ORDER = "engine order"
    DRAIN = "drain"
    CHECKPOINT = "checkpoint"


class Workload(Enum):
    """The kind of work that a scenario runs."""

    ONLINE = "online"
    BATCH = "batch"
    CONFIG = "config"
    ENGINE_COMMANDS = "orders"


WORKLOAD_BY_STEP = {
    Step.UPLOAD: Workload.BATCH,
    Step.SUBMIT_APPEND: Workload.BATCH,
    Step.ACKNOWLEDGE: Workload.BATCH,
    Step.TAKE_OVER: Workload.BATCH,
    Step.PULL: Workload.BATCH,
    Step.ATTEMPT_START: Workload.BATCH,
    Step.RUN: Workload.BATCH,
    Step.FIRST_TOKEN: Workload.ONLINE,
    Step.MID_STREAM: Workload.ONLINE,
    Step.CALL_CLAIM: Workload.ONLINE,
    Step.CALL_RUN: Workload.ONLINE,
    Step.COMPLETION_APPEND: Workload.BATCH,
    Step.RESULT_READ: Workload.BATCH,
    Step.CANCEL: Workload.BATCH,
    Step.CONFIG_APPEND: Workload.CONFIG,
    Step.RELAY: Workload.CONFIG,
    Step.APPLY: Workload.CONFIG,
    Step.ENGINE_ORDER: Workload.ENGINE_COMMANDS,
    Step.DRAIN: Workload.ONLINE,
    Step.CHECKPOINT: Workload.BATCH,
}
