"""What the bench of batch state measures."""

import attrs


@attrs.frozen
class StateMeasures:
    """The cost of one job's state; sizes are in bytes and times in seconds."""

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
    """Appends of one partition at a steady rate of completions."""

    completions_per_s: float
    appends_per_s: float
    appends_per_1000_items: float
    settle_p95_s: float
    max_waiting_records: int


@attrs.frozen
class BatchMeasures:
    """The whole report."""

    state: StateMeasures
    appends: tuple[AppendMeasures, ...]
