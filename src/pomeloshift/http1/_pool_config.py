"""How a pool of connections behaves."""

import attrs


@attrs.frozen
class PoolConfig:
    """Times of a connection pool, in seconds.

    ``idle_s`` stays under the shortest idle timeout that servers announce, which is a
    whole second, so that a request rarely crosses the server's close.
    """

    connect_timeout_s: float = 0.6
    idle_s: float = 0.9
    sweep_interval_s: float = 0.5
