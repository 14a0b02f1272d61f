"""Reduces a configuration to what one backend server needs."""

import attrs

from ._configuration import Configuration


def reduce_for(cfg: Configuration, service: str, instance: str) -> Configuration:
    """Returns the part of a configuration for the sidecar of one backend server.

    It contains the server's service and its own record. Keys, workspaces and all
    other services and backend servers are left out, because only entries need them.
    """
    return attrs.evolve(
        cfg,
        services=tuple(s for s in cfg.services if s.name == service),
        backend_servers=tuple(s for s in cfg.backend_servers if s.name == instance),
        workspaces=(),
        api_keys=(),
        operator_keys=(),
        revoked_keys=(),
    )
