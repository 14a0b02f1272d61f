"""The lease under which a gateway serves requests with keys."""

import math

import attrs

# Share of the revocation time after which the lease is renewed by additional reads. A
# long poll takes `POLL_SHARE` of that time, so a lease that is renewed regularly is at
# most two polls old (0.4), and five reads of `READ_SHARE` fit in the rest.
RENEW_SHARE = 0.45
# Share of the revocation time for a long poll of the configuration: 39 gateways with a
# revocation time of 5 s then read 39 times a second, below a hundredth of 6,000.
POLL_SHARE = 0.2
# Share of the revocation time after which an additional read through a relay counts as
# lost: several round trips between regions.
READ_SHARE = 0.1


@attrs.define
class ConfigLease:
    """The right to serve requests with keys, for a time after a confirming read.

    Designed for gateways that lose the store, are isolated, frozen or suspended: a
    request that a caller sends later than ``revocation_s`` after the store acknowledged
    the removal of its key must not run. If the read that last confirmed the newest
    configuration was requested at t0, requests are accepted until t0 +
    ``revocation_s``. A request that is checked at S was sent before S, and a key that
    the read did not show as removed was removed after t0.

    Times are seconds of a clock that also counts while the machine is suspended. With
    a ``revocation_s`` of None, one confirmation is enough for the rest of the run.

        lease = ConfigLease(revocation_s=5.0)
        lease.confirm(requested_at=100.0)
        lease.is_valid(104.9)  # True; False from 105.0 on
    """

    revocation_s: float | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(attrs.validators.gt(0)),
    )
    confirmed_at: float = attrs.field(default=-math.inf, init=False)

    def confirm(self, requested_at: float) -> None:
        """Records that a read requested at this time confirmed the configuration.

        Reads may end in another order than they began.
        """
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def is_valid(self, now: float) -> bool:
        """Returns whether requests with keys may be served at ``now``."""
        if self.confirmed_at == -math.inf:
            return False
        return self.revocation_s is None or self.age(now) < self.revocation_s

    def age(self, now: float) -> float:
        """Returns the seconds since the confirming read, infinity before the first."""
        return now - self.confirmed_at

    def needs_read(self, now: float) -> bool:
        """Returns whether an additional read should renew the lease."""
        if self.revocation_s is None:
            return False
        return self.age(now) >= RENEW_SHARE * self.revocation_s

    @property
    def poll_s(self) -> float:
        """The longest poll of the configuration that renews the lease in time."""
        if self.revocation_s is None:
            return math.inf
        return POLL_SHARE * self.revocation_s

    @property
    def read_timeout_s(self) -> float:
        """The time after which an additional read through a relay counts as lost."""
        if self.revocation_s is None:
            return math.inf
        return READ_SHARE * self.revocation_s
