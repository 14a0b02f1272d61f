"""Whether a backend server ran a request that failed."""

from enum import Enum


class Ran(Enum):
    """Whether a backend server ran any part of a failed request.

    ``NO`` is used only where it can be proved; a caller can then safely send the
    request again. ``UNKNOWN`` covers every case in which neither is proved.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
