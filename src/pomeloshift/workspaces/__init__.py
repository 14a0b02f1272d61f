"""Decision cores for workspaces that compete for insufficient capacity.

They do no I/O: the caller passes in what happened and the time, in monotonic seconds.
"""

from ._rates import Rates, RateSettings
from ._shared_rate import RateDecision, SharedRate

__all__ = ["RateDecision", "RateSettings", "Rates", "SharedRate"]
