"""How many batch streams the engine may run at a time."""

from ._config import AdmissionConfig
from ._first_token_model import FirstTokenModel
from ._observer import Observer
from ._pace_goal import PaceGoal
from ._roster import Roster
from ._slot_limit import STUCK_STEPS, SlotLimit
from ._step_model import StepModel

FIRST_BATCH_LIMIT = 8.0
PROBE_STREAMS = 1.0
SLOW_START_GROWTH = 1.0
GROWTH_SHARE = 0.1
HARD_LIMIT_SHARE = 1.25


class BatchLimit:
    """Keeps steps that read a whole chunk of a prompt below the pace goal.

    Batch streams are started up to ``streams``. They are only taken back beyond
    ``bound``, which is higher, because streams that end bring the number down anyway.
    """

    def __init__(
        self,
        cfg: AdmissionConfig,
        roster: Roster,
        steps: StepModel,
        first_tokens: FirstTokenModel,
        observer: Observer,
        pace: PaceGoal,
    ) -> None:
        self.cfg = cfg
        self.streams = FIRST_BATCH_LIMIT
        self._roster = roster
        self._steps = steps
        self._first_tokens = first_tokens
        self._observer = observer
        self._pace = pace
        self._slots = SlotLimit()

    @property
    def bound(self) -> float:
        """The number of batch streams beyond which some are taken back."""
        slots = self._slots.batch_bound(self._roster.online_running)
        return max(self._lowest, min(HARD_LIMIT_SHARE * self.streams, slots))

    @property
    def _lowest(self) -> float:
        """Without a stream to measure, the image of a slow engine would last."""
        if self._roster.has_online:
            return 0.0
        return min(PROBE_STREAMS, self.cfg.max_batch_streams)

    def adjust(self, now: float) -> None:
        """Moves the limit to what the engine's steps show."""
        self._slots.advance(now)
        self._find_full()
        roster = self._roster
        limit = self._fitted_limit() if self._steps.is_fitted else self._grown_limit()
        room = self._slots.batch_room(roster.online_running)
        limit = min(limit, room, self.cfg.max_batch_streams)
        self.streams = max(self._lowest, limit)

    def _fitted_limit(self) -> float:
        step_s = self._pace.goal_s - self._steps.read_extra_s
        sequences = self._steps.sequences_within(step_s)
        wanted = sequences - len(self._roster.online_decoding)
        growth = max(1.0, GROWTH_SHARE * self.streams)
        return min(wanted, self.streams + growth)

    def _grown_limit(self) -> float:
        is_used = self._roster.batch_running + 1 >= self.streams
        longest_s = self._pace.goal_s - self._steps.read_extra_s
        if is_used and self._observer.gap_s < longest_s:
            return self.streams + SLOW_START_GROWTH
        return self.streams

    def _find_full(self) -> None:
        roster = self._roster
        oldest = next(iter(roster.batch_reading.values()), None)
        if oldest is None or roster.online_reading:
            return
        tokens = sum(s.read_tokens for s in roster.batch_reading.values())
        since = max(oldest.steps_at_start, self._observer.read_step)
        steps = self._observer.step_count - since
        if steps > STUCK_STEPS + 2 * self._first_tokens.steps_for(tokens):
            self._slots.observe_full(roster.decoding)
