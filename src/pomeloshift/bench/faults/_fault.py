"""The faults that the matrix injects."""

from enum import Enum


class Fault(Enum):
    """A fault; the value is its name in reports."""

    PROCESS_DEATH = "process death"
    INSTANCE_LOST = "instance lost"
    ANSWER_LOST = "answer lost"
    LOG_DOWN = "log down"
    LOG_SLOW = "log slow"
    LOG_EXPIRY = "log expiry"
    HOLDER_PAUSED = "holder paused"
    SILENT_CONNECTION = "silent connection"
    DUPLICATE_SUBMIT = "duplicate submit"
    CONFLICTING_OPERATORS = "conflicting operators"
    POISON_REQUEST = "poison request"
    LATE_ANSWER = "late answer"
    CROSSED_ANSWERS = "crossed answers"
    REGION_PARTITION = "region partition"
    STALE_LIST = "stale live list"
    IGNORES_FENCING = "engine ignores fencing"
    CLOCK_STEP = "clock step"
