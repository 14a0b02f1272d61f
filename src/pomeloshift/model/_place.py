"""The region and availability zone in which an instance runs."""

import attrs


@attrs.frozen
class Place:
    """An availability zone within its region."""

    region: str = attrs.field(validator=attrs.validators.min_len(1))
    availability_zone: str = attrs.field(validator=attrs.validators.min_len(1))
