"""The limits that apply to callers as far as their memory is concerned."""

import attrs

KB = 1024


@attrs.frozen
class MemoryPolicy:
    """Limits of callers; sizes are in bytes and times in seconds.

    ``limit`` is what all callers may hold together. Requests of at most ``small`` bytes
    may use all of it, larger ones all but the share ``small_share``. A request waits at
    most ``max_wait_s`` for memory. Progress counts for about ``progress_s``. A body
    must arrive at ``body_rate`` bytes a second, apart from pauses of ``body_pause_s``
    in total. A caller that reads nothing for ``unread_s`` is disconnected, which is
    less than the time after which engines end an unread response.

        MemoryPolicy(limit=45 * 2**20, unread_s=1.5)
    """

    limit: int = attrs.field(validator=attrs.validators.gt(0))
    small: int = attrs.field(default=64 * KB, validator=attrs.validators.gt(0))
    small_share: float = attrs.field(
        default=1 / 8,
        validator=[attrs.validators.ge(0.0), attrs.validators.lt(1.0)],
    )
    max_wait_s: float = attrs.field(default=1.0, validator=attrs.validators.gt(0))
    progress_s: float = attrs.field(default=2.0, validator=attrs.validators.gt(0))
    # A piece of 64 KiB after each pause of the idle time-out, 15 s, is at this rate.
    body_rate: float = attrs.field(default=4.0 * KB, validator=attrs.validators.gt(0))
    body_pause_s: float = attrs.field(default=30.0, validator=attrs.validators.gt(0))
    unread_s: float = attrs.field(default=2.0, validator=attrs.validators.gt(0))

    @property
    def large_limit(self) -> int:
        """What requests of more than ``small`` bytes may hold together with others."""
        return int(self.limit * (1 - self.small_share))
