"""The results of the batch bench."""

import attrs


@attrs.frozen
class StateMeasures:
    """The cost of one job's state; sizes are in bytes and times in seconds.

    ``stream_bytes`` is the size of the job's records in the log.
    """

    items: int
    records: int
    stream_bytes: int
    replay_s: float
    records_per_s: float
    state_bytes_per_item: float
    checkpoint_bytes: int
    checkpoint_s: float
    restore_s: float
    pull_s_per_item: float


@attrs.frozen
class AppendMeasures:
    """The log appends of one partition at a constant rate of completions.

    ``settle_p95_s`` is the time from the offer of a record until it is committed.
    """

    completions_per_s: float
    appends_per_s: float
    appends_per_1000_items: float
    settle_p95_s: float
    max_waiting_records: int


@attrs.frozen
class BatchMeasures:
    """The complete report that the command prints as JSON."""

    state: StateMeasures
    appends: tuple[AppendMeasures, ...]
