"""Decides whether a request is served, by its key."""

from enum import Enum

import attrs

from ..dispatch import ServingConfig
from ._caller import Caller
from ._config_lease import ConfigLease


class Verdict(Enum):
    """What to do with a request.

    ``SERVE`` serves it, ``UNKNOWN_KEY`` answers that it has no valid key, ``NO_LEASE``
    refuses it because a valid key may have been revoked, and ``READ`` reads the
    configuration to its end and decides again: the key may be newer.
    """

    SERVE = "serve"
    UNKNOWN_KEY = "unknown_key"
    NO_LEASE = "no_lease"
    READ = "read"


@attrs.frozen
class KeyDecision:
    """A verdict, with the caller if the request is served."""

    verdict: Verdict
    caller: Caller = Caller()


@attrs.define
class KeyCheck:
    """Decides by key, configuration and lease.

    Handles one request at a time and keeps no state but the lease, at the rate of the
    requests: 57,000 a second over 2,300 gateways.
    """

    lease: ConfigLease

    def decide(
        self,
        config: ServingConfig,
        key: str | None,
        is_anonymous: bool,
        priority: int,
        now: float,
        current_since: float,
    ) -> KeyDecision:
        """Returns what to do with a request that carries ``key``, None without one.

        ``is_anonymous`` is set if the request needs no key, and ``priority`` is that of
        its route. A key that the configuration does not contain is unknown only if the
        configuration was confirmed by a read requested at ``current_since`` or later.
        """
        if not config.has_workspaces:
            return KeyDecision(Verdict.SERVE, Caller(priority=priority))
        if is_anonymous and key is None:
            return _serve_anonymous(priority)
        if not self.lease.is_valid(now):
            return KeyDecision(Verdict.NO_LEASE)
        workspace = config.workspace_of_key(key) if key is not None else None
        if workspace is not None:
            if workspace.priority is not None:
                priority = workspace.priority
            caller = Caller(workspace, priority, workspace.name)
            return KeyDecision(Verdict.SERVE, caller)
        if is_anonymous:
            return _serve_anonymous(priority)
        if self.lease.confirmed_at >= current_since:
            return KeyDecision(Verdict.UNKNOWN_KEY)
        return KeyDecision(Verdict.READ)


def _serve_anonymous(priority: int) -> KeyDecision:
    return KeyDecision(Verdict.SERVE, Caller(priority=priority, name=""))
