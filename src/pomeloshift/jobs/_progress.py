"""The output of an item that is running."""

import attrs


@attrs.frozen
class Progress:
    """An unfinished item's output up to and including the event ``event_id``."""

    event_id: int
    text: bytes
