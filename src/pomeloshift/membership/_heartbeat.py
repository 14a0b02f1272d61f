"""Decides to which entries a sidecar sends heartbeats, and when."""

from collections.abc import Iterable
from random import Random

import attrs
from attrs import validators as v

from ..model import Instance, InstanceRole
from ..routing import top_names


@attrs.frozen
class HeartbeatTiming:
    """Intervals in seconds and the number of entries that get heartbeats.

    Changes are reported within ``change_interval_s`` and an unchanged state every
    ``idle_interval_s``, which has to be well below ``suspect_after_s`` of the
    entries.
    """

    change_interval_s: float = attrs.field(default=0.1, validator=v.gt(0))
    idle_interval_s: float = attrs.field(default=0.5, validator=v.gt(0))
    fan_out: int = attrs.field(default=16, validator=v.ge(1))


@attrs.frozen
class SendReport:
    """Send the current state to an entry."""

    entry: Instance


@attrs.frozen
class PullConfig:
    """Request the configuration from an entry that has a newer version."""

    entry: Instance
    have_version: int


HeartbeatEffect = SendReport | PullConfig


@attrs.define
class _Target:
    """An entry that gets heartbeats."""

    entry: Instance
    due_at: float
    sent_at: float = float("-inf")
    awaits_reply: bool = False


class HeartbeatSender:
    """Plans the heartbeats of one sidecar.

    ``urgent`` changes, such as leaving, are sent at once; others wait until
    ``change_interval_s`` has passed since the last report. At most one report to an
    entry is unacknowledged at a time. If there are more entries than ``fan_out``,
    the sidecar reports to the same subset as long as the list does not change.
    """

    def __init__(self, name: str, timing: HeartbeatTiming, rng: Random) -> None:
        self._name = name
        self._timing = timing
        self._rng = rng
        self._targets: dict[str, _Target] = {}

    @property
    def entries(self) -> tuple[Instance, ...]:
        """The entries that get heartbeats, sorted by name."""
        return tuple(self._targets[name].entry for name in sorted(self._targets))

    def observe_list(
        self, instances: Iterable[Instance], now: float
    ) -> list[HeartbeatEffect]:
        """Applies the instance list; new entries get a report at once."""
        entries = {i.name: i for i in instances if i.role is InstanceRole.ENTRY}
        chosen = top_names(self._name, entries, self._timing.fan_out)
        previous = self._targets
        self._targets = {}
        for name in chosen:
            target = previous.get(name)
            has_moved = target is not None and _has_moved(target.entry, entries[name])
            if target is None or has_moved:
                target = _Target(entries[name], due_at=now)
            target.entry = entries[name]
            self._targets[name] = target
        return self.tick(now)

    def state_changed(self, now: float, urgent: bool = False) -> list[HeartbeatEffect]:
        """Called when the state to report has changed."""
        for target in self._targets.values():
            earliest = target.sent_at + self._timing.change_interval_s
            due_at = now if urgent else max(now, earliest)
            target.due_at = min(target.due_at, due_at)
        return self.tick(now)

    def answered(
        self, entry: str, entry_version: int, own_version: int, now: float
    ) -> list[HeartbeatEffect]:
        """Called when an entry acknowledged a report.

        ``entry_version`` and ``own_version`` are the configuration versions of the
        entry and of the sidecar.
        """
        target = self._targets.get(entry)
        if target is None:
            return []
        target.awaits_reply = False
        effects: list[HeartbeatEffect] = []
        if entry_version > own_version:
            effects.append(PullConfig(target.entry, own_version))
        return effects + self.tick(now)

    def failed(self, entry: str, now: float) -> list[HeartbeatEffect]:
        """Called when an entry did not acknowledge a report, which is retried soon."""
        target = self._targets.get(entry)
        if target is None:
            return []
        target.awaits_reply = False
        target.due_at = now + self._jitter(self._timing.change_interval_s)
        return self.tick(now)

    def tick(self, now: float) -> list[HeartbeatEffect]:
        """Returns the reports that are due."""
        due = [
            t for t in self._targets.values() if t.due_at <= now and not t.awaits_reply
        ]
        return [self._send(target, now) for target in due]

    def _send(self, target: _Target, now: float) -> SendReport:
        target.awaits_reply = True
        target.sent_at = now
        target.due_at = now + self._jitter(self._timing.idle_interval_s)
        return SendReport(target.entry)

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.75, 1.0)


def _has_moved(known: Instance, listed: Instance) -> bool:
    return known.control_address != listed.control_address
