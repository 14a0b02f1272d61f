"""Finds the engines that can run the items of each queue."""

from ..dispatch import Engine, Route, SoftwareVersion


def usable_engines(
    engines: list[Engine], routes: dict[str, Route]
) -> dict[str, dict[str, SoftwareVersion]]:
    """Returns, for each queue, the versions of the engines that can run its items."""
    return {
        name: {
            engine.record.id: engine.record.software
            for engine in engines
            if engine.record.service in route.services
        }
        for name, route in routes.items()
    }
