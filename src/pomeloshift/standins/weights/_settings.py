"""Settings of the weight store's stand-in."""

import attrs
from attrs import validators as v


@attrs.frozen
class WeightsSettings:
    """The address, the rate limit and the models of the weight store.

    It starts ``loads_per_s`` loads per second on average and ``burst`` at once. A load
    takes ``load_s`` seconds. ``models`` are the names of the models it stores.
    """

    host: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=[v.ge(0), v.le(65535)])
    loads_per_s: float = attrs.field(default=2.0, validator=v.gt(0))
    burst: int = attrs.field(default=2, validator=v.ge(1))
    load_s: float = attrs.field(default=0.5, validator=v.ge(0))
    models: tuple[str, ...] = ()
