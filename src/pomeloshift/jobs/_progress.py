"""The output of an item that is being run."""

import attrs


@attrs.frozen
class Progress:
    """An unfinished item's output up to and with the event ``event_id``."""

    event_id: int
    text: bytes
