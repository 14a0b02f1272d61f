"""Sends arrivals to servers by lagging reports."""

from random import Random

import attrs

from ...model import LoadReport, Place

ZONE_PREFERENCE_TOKENS = 4000


@attrs.define
class _View:
    place: Place
    tokens: int = 0
    since: dict[int, int] = attrs.field(factory=dict)


class ReportRouter:
    """Chooses the less loaded of two servers of the region, the own zone first.

    The load is the last report's plus what was sent since the report was made.
    """

    def __init__(self, places: tuple[Place, ...], rng: Random) -> None:
        self._views = [_View(place) for place in places]
        self._rng = rng
        self._sent = 0

    def choose(self, place: Place, tokens: int) -> int:
        """Returns the number of the server for an arrival and counts it there."""
        views = self._views
        own = [n for n, v in enumerate(views) if v.place == place]
        region = [n for n, v in enumerate(views) if v.place.region == place.region]
        best = self._better_of_two(own or region)
        elsewhere = self._better_of_two(region)
        if self._load(elsewhere) + ZONE_PREFERENCE_TOKENS < self._load(best):
            best = elsewhere
        self._sent += 1
        views[best].since[self._sent] = tokens
        return best

    @property
    def sent(self) -> int:
        """The number of arrivals sent so far; reports name it as their mark."""
        return self._sent

    def on_report(self, server: int, report: LoadReport, mark: int) -> None:
        """Takes a report that was made when ``mark`` arrivals had been sent."""
        view = self._views[server]
        view.tokens = report.online_tokens
        view.since = {n: tokens for n, tokens in view.since.items() if n > mark}

    def _better_of_two(self, servers: list[int]) -> int:
        pair = self._rng.sample(servers, min(2, len(servers)))
        return min(pair, key=self._load)

    def _load(self, server: int) -> int:
        view = self._views[server]
        return view.tokens + sum(view.since.values())
