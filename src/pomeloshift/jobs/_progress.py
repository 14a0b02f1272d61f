"""The output of an item that is running."""

import attrs

from ..dispatch import SoftwareVersion


@attrs.frozen
class Progress:
    """An unfinished item's output up to and including the event ``event_id``.

    All of it comes from engines of one version, ``software``: only there the item can
    be resumed.
    """

    event_id: int
    text: bytes
    software: SoftwareVersion
