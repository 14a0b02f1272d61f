"""Settings of a connection pool."""

import attrs


@attrs.frozen
class PoolConfig:
    """Timeouts and intervals of a connection pool, in seconds.

    ``idle_s`` is below the shortest idle timeout that servers announce, one second,
    so that a request is rarely sent while the server closes the connection.
    """

    connect_timeout_s: float = 0.6
    idle_s: float = 0.9
    sweep_interval_s: float = 0.5
