"""The settings of a router."""

import attrs
from attrs import validators as v


@attrs.frozen
class RouterConfig:
    """How one entry chooses among backend servers.

    ``name`` is the entry's and decides which subset of a large fleet it follows.
    Loads are shares of a backend server's capacity in tokens. Above ``spill_load``
    in the entry's own zone the other zones of its region are considered too.
    Reports older than ``silent_s`` take a backend server out while others report.
    A load is trusted less as its report ages, with ``trust_s`` as time constant.
    """

    name: str = ""
    zone_subset: int = attrs.field(default=24, validator=v.ge(1))
    region_subset: int = attrs.field(default=24, validator=v.ge(1))
    remote_subset: int = attrs.field(default=6, validator=v.ge(1))
    spill_load: float = attrs.field(default=0.5, validator=v.ge(0))
    affinity_load: float = attrs.field(default=0.25, validator=v.ge(0))
    silent_s: float = attrs.field(default=3.0, validator=v.gt(0))
    report_lag_s: float = attrs.field(default=0.2, validator=v.ge(0))
    trust_s: float = attrs.field(default=2.0, validator=v.gt(0))
    suspect_s: float = attrs.field(default=1.0, validator=v.gt(0))
    max_suspect_s: float = attrs.field(default=30.0, validator=v.gt(0))
    default_capacity_tokens: int = attrs.field(default=16_384, validator=v.ge(1))
    default_itl_s: float = attrs.field(default=0.03, validator=v.gt(0))
    link_online_bytes_per_s: float = attrs.field(default=900_000.0, validator=v.ge(0))
    link_batch_bytes_per_s: float = attrs.field(default=180_000.0, validator=v.ge(0))
    link_burst_s: float = attrs.field(default=2.0, validator=v.gt(0))
