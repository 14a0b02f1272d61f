"""The version of the software that an engine runs."""

import attrs


@attrs.frozen(cache_hash=True)
class SoftwareVersion:
    """A version of a service's software, not of a model's weights.

    Versions have no order. Outputs of different ones do not fit together.
    """

    service: str
    version: str
