"""Routes arrivals by load reports that arrive late."""

from random import Random

import attrs

from ...model import LoadReport, Place

ZONE_PREFERENCE_TOKENS = 4000


@attrs.define
class _View:
    place: Place
    tokens: int = 0
    unreported: dict[int, int] = attrs.field(factory=dict)


class ReportRouter:
    """Chooses the less loaded of two random servers, preferring the caller's zone.

    A server of another zone in the region is chosen if its load is lower by more than
    `ZONE_PREFERENCE_TOKENS`. A server's load is that of its last report plus the
    tokens sent to it since that report was made.
    """

    def __init__(self, places: tuple[Place, ...], rng: Random) -> None:
        self._views = [_View(place) for place in places]
        self._rng = rng
        self._sent = 0

    def choose(self, place: Place, tokens: int) -> int:
        """Returns the number of the server for an arrival and adds ``tokens`` to it."""
        views = self._views
        in_zone = [n for n, v in enumerate(views) if v.place == place]
        in_region = [n for n, v in enumerate(views) if v.place.region == place.region]
        best = self._better_of_two(in_zone or in_region)
        other = self._better_of_two(in_region)
        if self._load(other) + ZONE_PREFERENCE_TOKENS < self._load(best):
            best = other
        self._sent += 1
        views[best].unreported[self._sent] = tokens
        return best

    @property
    def sent(self) -> int:
        """The number of arrivals sent so far, to be passed on with a new report."""
        return self._sent

    def on_report(self, server: int, report: LoadReport, sent_count: int) -> None:
        """Applies a report that was made when ``sent_count`` arrivals had been sent."""
        view = self._views[server]
        view.tokens = report.online_tokens
        view.unreported = {
            n: tokens for n, tokens in view.unreported.items() if n > sent_count
        }

    def _better_of_two(self, servers: list[int]) -> int:
        pair = self._rng.sample(servers, min(2, len(servers)))
        return min(pair, key=self._load)

    def _load(self, server: int) -> int:
        view = self._views[server]
        return view.tokens + sum(view.unreported.values())
