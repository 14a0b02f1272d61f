"""The limits of a sidecar's attempt registry."""

import attrs
from attrs import validators as v


@attrs.frozen
class RegistryConfig:
    """Bounds on the memory of a registry.

    An ended attempt can be joined for ``retention_s`` seconds. After that the
    registry remembers only its id, for ``id_retention_s`` seconds, so that a late
    copy of the request is not run.
    """

    retention_s: float = attrs.field(default=30.0, validator=v.gt(0))
    id_retention_s: float = attrs.field(default=600.0, validator=v.gt(0))
    max_running: int = attrs.field(default=4096, validator=v.ge(1))
    max_ids: int = attrs.field(default=100_000, validator=v.ge(1))
    max_ended_bytes: int = attrs.field(default=8 * 1024 * 1024, validator=v.ge(0))
    max_attempt_bytes: int = attrs.field(default=4 * 1024 * 1024, validator=v.ge(1))
