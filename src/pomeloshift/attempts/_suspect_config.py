"""The settings of the tracker of crash suspects."""

import attrs
from attrs import validators as v


@attrs.frozen
class SuspectConfig:
    """Limits on the records of requests that ran on a crashed backend server.

    A record expires ``quarantine_s`` seconds after its last crash. A fingerprint is
    quarantined from its ``quarantine_crashes``-th crash on.
    """

    quarantine_crashes: int = attrs.field(default=2, validator=v.ge(1))
    quarantine_s: float = attrs.field(default=600.0, validator=v.gt(0))
    max_suspects: int = attrs.field(default=50_000, validator=v.ge(1))
