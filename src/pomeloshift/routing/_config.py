"""The settings of a router."""

import attrs
from attrs import validators as v


@attrs.frozen
class RouterConfig:
    """How one entry chooses among backend servers.

    ``name`` is the entry's and decides which subset of a large fleet it follows.
    Loads are shares of a backend server's capacity in tokens. Another zone of the
    region is used where its load is lower by more than ``zone_bias``, and a server
    that may hold a prompt's prefix up to ``affinity_load`` above the mean load.
    Reports older than ``silent_s`` take a backend server out while others report.
    A load is trusted less as its report ages, with ``trust_s`` as time constant.
    In its place comes what the entry sent within about ``sent_fade_s``, with the
    weight ``sent_weight`` for each other entry of the region. ``report_lag_s`` is
    the shortest delay of a report.
    """

    name: str = ""
    zone_subset: int = attrs.field(default=24, validator=v.ge(1))
    region_subset: int = attrs.field(default=24, validator=v.ge(1))
    remote_subset: int = attrs.field(default=6, validator=v.ge(1))
    zone_bias: float = attrs.field(default=0.05, validator=v.ge(0))
    affinity_load: float = attrs.field(default=0.05, validator=v.ge(0))
    silent_s: float = attrs.field(default=3.0, validator=v.gt(0))
    report_lag_s: float = attrs.field(default=0.05, validator=v.ge(0))
    trust_s: float = attrs.field(default=0.5, validator=v.gt(0))
    sent_fade_s: float = attrs.field(default=2.0, validator=v.gt(0))
    sent_weight: float = attrs.field(default=0.2, validator=v.ge(0))
    suspect_s: float = attrs.field(default=1.0, validator=v.gt(0))
    max_suspect_s: float = attrs.field(default=30.0, validator=v.gt(0))
    default_capacity_tokens: int = attrs.field(default=16_384, validator=v.ge(1))
    default_itl_s: float = attrs.field(default=0.03, validator=v.gt(0))
    link_burst_s: float = attrs.field(default=2.0, validator=v.gt(0))
