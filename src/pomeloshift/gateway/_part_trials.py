"""Decides which batch items wait for a quarantined part of their prompts."""

from collections.abc import Collection

import attrs

from ..dispatch import CrashKeys, Engine
from ..jobs import ItemKey, WorkItem, rank_among
from ..platform import item_parts
from ._crash_log import CrashLog
from ._events import EventLog
from ._timing import TRIAL_RANK_S


@attrs.define
class PartTrials:
    """Holds items with a quarantined part, and lets one of them try the part.

    The engines are tried in an order of their own for each part, because many gateways
    run no items.
    """

    _crashes: CrashLog
    _events: EventLog
    _held: set[ItemKey] = attrs.field(factory=set, init=False)
    _own: list[str] = attrs.field(factory=list, init=False)
    _serving: list[str] = attrs.field(factory=list, init=False)
    # By how much later than the first gateway this one may try each part, in this pass.
    _delays_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def begin_pass(self, own: list[Engine], serving: Collection[Engine]) -> None:
        """Sets the engines at which items can start now, and those of all gateways."""
        self._own = [engine.record.id for engine in own]
        self._serving = [engine.record.id for engine in serving]
        self._delays_s.clear()

    def without_held(self, pending: list[WorkItem]) -> list[WorkItem]:
        """Returns the items without those that wait for a quarantined part.

        These stay queued until the part is released or their time is up.
        """
        if not self._crashes.count_quarantined_parts():
            self._held.clear()
            return pending
        ready, held = [], set()
        for work in pending:
            keys = crash_keys(work)
            blocking = self._crashes.blocking(keys)
            if not blocking or self._crashes.may_try(keys, self._delay_s):
                ready.append(work)
                continue
            held.add(work.key)
            if work.key not in self._held:
                self._events.info(
                    "item_held",
                    id=work.job.items[work.index].id,
                    job=work.job.id,
                    part=blocking[0],
                )
        self._held = held
        return ready

    def take(self, work: WorkItem) -> bool:
        """Returns whether an item may try the quarantined parts of its prompt."""
        keys = crash_keys(work)
        if not self._crashes.take_trial(keys, self._delay_s):
            return False
        for key in self._crashes.blocking(keys):
            item = work.job.items[work.index]
            self._events.info("quarantine_trial", id=item.id, part=key)
        return True

    def _delay_s(self, key: str) -> float:
        delay_s = self._delays_s.get(key)
        if delay_s is None:
            delay_s = TRIAL_RANK_S * rank_among(key, self._own, self._serving)
            self._delays_s[key] = delay_s
        return delay_s


def crash_keys(work: WorkItem) -> CrashKeys:
    """Returns the keys under which crashes count that cut an item's runs."""
    return CrashKeys(parts=item_parts(work.job.items[work.index].headers))
