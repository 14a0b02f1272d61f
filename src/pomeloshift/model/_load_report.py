"""The load of a backend server as its sidecar reports it."""

import attrs


@attrs.frozen
class LoadReport:
    """A snapshot of a backend server's work.

    Token counts cover prompts that wait or are being read plus the output still
    expected. ``itl_s`` is the recent time between tokens in seconds. ``made_at_s`` is
    the sidecar's monotonic clock at the snapshot, 0 if it is not told; receivers can
    work out from it how much later than others a report arrived.
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
