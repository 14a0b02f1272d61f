"""Decision cores for workspaces that compete for insufficient capacity.

They decide which callers are served, for how long a configuration may be relied on,
and how much of its limit a workspace may use here. They do no I/O: the caller passes in
what happened and the time, in monotonic seconds if nothing else is said.
"""

from ._caller import Caller
from ._config_lease import ConfigLease
from ._key_check import KeyCheck, KeyDecision, Verdict
from ._rates import Rates, RateSettings
from ._shared_rate import RateDecision, SharedRate

__all__ = [
    "Caller",
    "ConfigLease",
    "KeyCheck",
    "KeyDecision",
    "RateDecision",
    "RateSettings",
    "Rates",
    "SharedRate",
    "Verdict",
]
