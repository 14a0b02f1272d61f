"""Whether a request that failed was run."""

from enum import Enum


class Ran(Enum):
    """States whether a backend server ran any part of a failed request.

    ``NO`` is used only where it can be proved; a caller may then send the request
    again without risk. ``UNKNOWN`` covers every case that is not settled.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
