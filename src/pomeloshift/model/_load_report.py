"""The load of a backend server as its sidecar reports it."""

import attrs


@attrs.frozen
class LoadReport:
    """A snapshot of a backend server's load.

    ``online_tokens`` and ``batch_tokens`` count the prompt tokens that are queued or
    in prefill, plus an upper bound of the output tokens still to be generated.
    ``itl_s`` is the recent inter-token latency in seconds. ``made_at_s`` is the
    sidecar's monotonic clock at the snapshot, 0 if unknown; a receiver compares it
    with its own clock to measure how much later than others a report arrived.
    """

    online_streams: int = 0
    batch_streams: int = 0
    online_tokens: int = 0
    batch_tokens: int = 0
    queued_online: int = 0
    itl_s: float = 0.0
    capacity_tokens: int = 0
    sequence: int = 0
    made_at_s: float = 0.0
