"""Decides whether an online request may wait for a slot.

Designed for bursts of a few seconds that exceed the engines' capacity. A refused
caller retries once and is lost if it is refused again. During a burst, slots are
therefore reserved for retries; first attempts are refused and retry after the burst.
"""

from collections import deque

import attrs

from ._route import Route

# How far ahead due retries are counted to reserve their slots, in latency objectives
# of the route.
RESERVED_OBJECTIVES = 1.0
# A request is a retry if its deadline is shorter than the longest one of its route by
# more than this, which exceeds the time that a new connection takes.
RETRY_MARGIN_S = 0.15
# Share by which the longest deadline seen decays with each request that states one, so
# that it falls once callers send shorter deadlines.
DEADLINE_DECAY = 0.001

# Initial estimate of the start delay, which is the time from the end of the expected
# wait to the first event at the caller: prefill, one decode step and the network
# delay of the response.
INITIAL_START_DELAY_S = 0.03
# The share of accepted requests that should start within their latency objective.
ON_TIME_SHARE = 0.8
# Largest change of the estimated start delay by one measurement: about ten late starts
# in a row double the estimate.
START_DELAY_STEP_S = 0.005
# Upper bound of the start delay as a share of the objective. Some requests are
# always accepted and measured, so that the estimate can recover after late starts.
MAX_START_DELAY_SHARE = 0.5
# Upper bound of the estimated start delay: the default latency objective of a route.
MAX_START_DELAY_S = 1.0


@attrs.define
class OnlineAdmission:
    """Compares a request's expected time to its first event with its objective.

    The estimated start delay follows measured starts. The times at which refused
    callers are due to retry come from `note_refusal`.

    admission.allows(route, 5.0, elapsed_s=0.0, wait_s=0.2, interval_s=0.03, now=now)
    """

    _retry_times: deque[float] = attrs.field(factory=deque)
    _start_delay_s: float = INITIAL_START_DELAY_S
    _max_deadline_s: dict[str, float] = attrs.field(factory=dict)

    def allows(
        self,
        route: Route,
        deadline_s: float | None,
        elapsed_s: float,
        wait_s: float,
        interval_s: float,
        now: float,
        start_s: float | None = None,
    ) -> bool:
        """Returns whether a request is expected to start within its objective.

        ``deadline_s`` is the time that the caller allows, `None` if it states none.
        ``elapsed_s`` is the time since the request arrived, ``wait_s`` the expected
        wait for a slot, and ``interval_s`` the mean time between slots that become
        free for this entry. All are in seconds. A first attempt also waits for one
        slot for each caller that is due to retry; a retry does not.
        ``start_s`` is the start delay at the chosen engine if it has been learned.
        """
        if wait_s <= 0 and start_s is None:
            return elapsed_s + INITIAL_START_DELAY_S <= route.objective_s
        delay_s = min(self._start_delay_s, MAX_START_DELAY_SHARE * route.objective_s)
        if start_s is not None:
            # Behind others, starts are late for reasons that are not the engine's too.
            delay_s = max(delay_s, start_s) if wait_s > 0 else start_s
        first_event_after_s = elapsed_s + wait_s + delay_s
        if not self._is_retry(route, deadline_s):
            first_event_after_s += interval_s * self.count_due(now, route)
        return first_event_after_s <= route.objective_s

    def note_arrival(self, route: Route, deadline_s: float | None) -> None:
        """Records the deadline, in seconds, that a new request came with."""
        if deadline_s is None:
            return
        max_deadline_s = self._max_deadline_s.get(route.name, 0.0) * (
            1 - DEADLINE_DECAY
        )
        self._max_deadline_s[route.name] = max(max_deadline_s, deadline_s)

    def note_refusal(
        self, route: Route, deadline_s: float | None, retry_at: float
    ) -> None:
        """Records when a refused caller is due to retry.

        A caller that was refused on its retry is not expected again.
        """
        if not self._is_retry(route, deadline_s):
            self._retry_times.append(retry_at)

    def note_start(self, expected_wait_s: float, started_after_s: float) -> None:
        """Adjusts the estimated start delay to the start of a request that had to wait.

        ``started_after_s`` is the time from sending the request to its first event.
        """
        error_s = started_after_s - expected_wait_s
        if error_s > self._start_delay_s:
            self._start_delay_s = min(
                self._start_delay_s + START_DELAY_STEP_S * ON_TIME_SHARE,
                MAX_START_DELAY_S,
            )
        elif self._start_delay_s > INITIAL_START_DELAY_S:
            self._start_delay_s -= START_DELAY_STEP_S * (1 - ON_TIME_SHARE)

    def count_due(self, now: float, route: Route) -> int:
        """Returns how many refused callers are due to retry within the objective."""
        while self._retry_times and self._retry_times[0] < now:
            self._retry_times.popleft()
        last = now + RESERVED_OBJECTIVES * route.objective_s
        return sum(now <= at <= last for at in self._retry_times)

    @property
    def start_delay_s(self) -> float:
        """The estimated start delay in seconds.

        About `ON_TIME_SHARE` of the requests that had to wait start within this delay
        after their expected wait.
        """
        return self._start_delay_s

    def _is_retry(self, route: Route, deadline_s: float | None) -> bool:
        max_deadline_s = self._max_deadline_s.get(route.name)
        if deadline_s is None or max_deadline_s is None:
            return False
        return deadline_s < max_deadline_s - RETRY_MARGIN_S
