"""The settings of a router."""

import attrs
from attrs import validators as v


@attrs.frozen
class RouterConfig:
    """How one entry chooses among backend servers.

    ``name`` is the entry's name; it decides which subset of a large fleet the entry
    uses. ``zone_subset``, ``region_subset`` and ``remote_subset`` bound the servers
    used per service in the entry's zone, the rest of its region and other regions.

    Loads are shares of a backend server's capacity in tokens. Another zone of the
    region is used if its load is lower by more than ``zone_bias``. A server that may
    have a prompt's prefix cached is used up to ``affinity_load`` above the mean load.

    A backend server without a report or response for ``unresponsive_after_s`` is not
    used while others report. The weight of a reported load decays with the age of
    the report, with the time constant ``trust_s``. The rest of the estimate is the
    mean load plus what this entry sent recently, with the time constant
    ``sent_decay_s`` and the weight ``sent_weight`` for each other entry of the
    region. ``report_lag_s`` is the shortest delay of a report.

    After a failed connection a server is avoided for ``min_backoff_s``, doubled with
    each further failure up to ``max_backoff_s``. ``default_capacity_tokens`` and
    ``default_itl_s`` (seconds between tokens) are used until a server reports its
    own. ``link_burst_s`` is the burst of the inter-region link's budgets, in seconds
    at their rate.
    """

    name: str = ""
    zone_subset: int = attrs.field(default=24, validator=v.ge(1))
    region_subset: int = attrs.field(default=24, validator=v.ge(1))
    remote_subset: int = attrs.field(default=6, validator=v.ge(1))
    zone_bias: float = attrs.field(default=0.05, validator=v.ge(0))
    affinity_load: float = attrs.field(default=0.05, validator=v.ge(0))
    unresponsive_after_s: float = attrs.field(default=3.0, validator=v.gt(0))
    report_lag_s: float = attrs.field(default=0.05, validator=v.ge(0))
    trust_s: float = attrs.field(default=0.5, validator=v.gt(0))
    sent_decay_s: float = attrs.field(default=2.0, validator=v.gt(0))
    sent_weight: float = attrs.field(default=0.2, validator=v.ge(0))
    min_backoff_s: float = attrs.field(default=1.0, validator=v.gt(0))
    max_backoff_s: float = attrs.field(default=30.0, validator=v.gt(0))
    default_capacity_tokens: int = attrs.field(default=16_384, validator=v.ge(1))
    default_itl_s: float = attrs.field(default=0.03, validator=v.gt(0))
    link_burst_s: float = attrs.field(default=2.0, validator=v.gt(0))
