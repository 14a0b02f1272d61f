"""The steps at which faults strike."""

from enum import Enum


class Step(Enum):
    """A point in the life of a request, a job, a configuration or an order."""

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


class Part(Enum):
    """What a cell's scenario does."""

    ONLINE = "online"
    BATCH = "batch"
    CONFIG = "config"
    ORDERS = "orders"


PART_OF_STEP = {
    Step.UPLOAD: Part.BATCH,
    Step.SUBMIT_APPEND: Part.BATCH,
    Step.ACKNOWLEDGE: Part.BATCH,
    Step.TAKE_OVER: Part.BATCH,
    Step.PULL: Part.BATCH,
    Step.ATTEMPT_START: Part.BATCH,
    Step.RUN: Part.BATCH,
    Step.FIRST_TOKEN: Part.ONLINE,
    Step.MID_STREAM: Part.ONLINE,
    Step.CALL_CLAIM: Part.ONLINE,
    Step.CALL_RUN: Part.ONLINE,
    Step.COMPLETION_APPEND: Part.BATCH,
    Step.RESULT_READ: Part.BATCH,
    Step.CANCEL: Part.BATCH,
    Step.CONFIG_APPEND: Part.CONFIG,
    Step.RELAY: Part.CONFIG,
    Step.APPLY: Part.CONFIG,
    Step.ENGINE_ORDER: Part.ORDERS,
    Step.DRAIN: Part.ONLINE,
    Step.CHECKPOINT: Part.BATCH,
}
