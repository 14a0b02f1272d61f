"""Leaves out of a configuration what a backend server has no use for."""

import attrs

from ._configuration import Configuration


def reduce_for(cfg: Configuration, service: str, instance: str) -> Configuration:
    """Returns what the sidecar of one backend server needs of a configuration.

    That is its service and its own entry; keys, workspaces and all other services
    and backend servers stay with the entries.
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
