"""Decides whether a request may wait for a place.

The load it answers: bursts beyond what the engines can do, a few seconds long. A
refused caller returns once. If it is refused again it is lost, so the places of a
burst go to callers that were refused before, and newcomers return after it.
"""

from collections import deque

import attrs

from ._route import Route

# Refused callers that return within this many objectives have places kept for them.
RESERVED_OBJECTIVES = 1.0
# A caller with this much less time left than the most patient ones has tried before;
# above what a new connection takes.
RETURNED_S = 0.15
# Part of the longest deadline that is forgotten with each request, so that it follows
# a change of the callers' patience.
DEADLINE_DECAY = 0.001

# From a place at an engine to the first event at the caller, until it was measured:
# a prompt's prefill, a step and the way back.
START_S = 0.03
# The share of accepted requests that should start within their objective.
ON_TIME_SHARE = 0.8
# By how much one measurement moves the estimate, in seconds: some ten late starts in
# a row double it.
START_STEP_S = 0.005
# The margin takes no more of the objective than this, so that requests go on to be
# accepted and measured whatever the engines did before.
MARGIN_PART = 0.5
LONGEST_START_S = 1.0  # beyond the objectives of online requests


@attrs.define
class OnlineAdmission:
    """Compares a request's expected start with its objective.

    admission.allows(route, 5.0, elapsed_s=0.0, wait_s=0.2, interval_s=0.03, now=now)
    """

    _returns: deque[float] = attrs.field(factory=deque)
    _start_s: float = START_S
    _longest_s: dict[str, float] = attrs.field(factory=dict)

    def allows(
        self,
        route: Route,
        deadline_s: float | None,
        elapsed_s: float,
        wait_s: float,
        interval_s: float,
        now: float,
    ) -> bool:
        """Whether a request may be sent to an engine with that expected wait.

        ``interval_s`` is the time between places that come free for this entry.
        """
        if wait_s <= 0:
            return elapsed_s + START_S <= route.objective_s
        margin_s = min(self._start_s, MARGIN_PART * route.objective_s)
        start_s = elapsed_s + wait_s + margin_s
        if not self._has_returned(route, deadline_s):
            start_s += interval_s * self.count_due(now, route)
        return start_s <= route.objective_s

    def note_arrival(self, route: Route, deadline_s: float | None) -> None:
        """Takes the time that a caller allows."""
        if deadline_s is None:
            return
        longest_s = self._longest_s.get(route.name, 0.0) * (1 - DEADLINE_DECAY)
        self._longest_s[route.name] = max(longest_s, deadline_s)

    def note_refusal(
        self, route: Route, deadline_s: float | None, returns_at: float
    ) -> None:
        """Notes when a refused caller was told to return.

        One that had returned before is not expected again.
        """
        if not self._has_returned(route, deadline_s):
            self._returns.append(returns_at)

    def note_start(self, expected_wait_s: float, started_after_s: float) -> None:
        """Takes how long a request that had to wait took from its sending to its
        first event.
        """
        error_s = started_after_s - expected_wait_s
        if error_s > self._start_s:
            self._start_s = min(
                self._start_s + START_STEP_S * ON_TIME_SHARE, LONGEST_START_S
            )
        elif self._start_s > START_S:
            self._start_s -= START_STEP_S * (1 - ON_TIME_SHARE)

    def count_due(self, now: float, route: Route) -> int:
        """Returns how many callers refused here return within the objective."""
        while self._returns and self._returns[0] < now:
            self._returns.popleft()
        last = now + RESERVED_OBJECTIVES * route.objective_s
        return sum(now <= at <= last for at in self._returns)

    @property
    def start_s(self) -> float:
        """How much longer than expected a start may take."""
        return self._start_s

    def _has_returned(self, route: Route, deadline_s: float | None) -> bool:
        longest_s = self._longest_s.get(route.name)
        if deadline_s is None or longest_s is None:
            return False
        return deadline_s < longest_s - RETURNED_S
