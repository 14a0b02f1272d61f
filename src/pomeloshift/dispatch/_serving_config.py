"""The configuration that operators publish, in the form that entries use."""

import attrs

from ._route import Route
from ._workspace import Workspace


@attrs.frozen
class Service:
    """A group of engines.

    ``connection_cap`` is the number of connections that one engine accepts from all
    entries together. ``engine_tokens`` is the memory of one engine in tokens, 0 if it
    is not known.
    """

    name: str
    connection_cap: int = 0
    engine_tokens: int = 0


@attrs.frozen
class HttpLimits:
    """Limits of callers' HTTP requests, in bytes and seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class ServingConfig:
    """One version of the configuration; routes are matched by host and path prefix.

    Without ``workspaces``, callers need no keys. The keys of all workspaces differ.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...] = ()
    limits: HttpLimits = HttpLimits()
    workspaces: tuple[Workspace, ...] = ()
    _by_key: dict[str, Workspace] = attrs.field(init=False, repr=False, eq=False)
    _by_host: dict[str, tuple[Route, ...]] = attrs.field(
        init=False, repr=False, eq=False
    )

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "_by_host", ordered)
        by_key = {key: one for one in self.workspaces for key in one.keys}
        object.__setattr__(self, "_by_key", by_key)

    @property
    def has_workspaces(self) -> bool:
        """Whether callers need keys."""
        return bool(self.workspaces)

    def workspace_of_key(self, key: str) -> Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._by_key.get(key)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of ``path``, if any."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def routes_of(self, host: str) -> tuple[Route, ...]:
        """Returns all routes of a host, the longest path prefix first."""
        return self._by_host.get(host, ())
