"""The envelope of a record in the log."""

from typing import Any

import attrs


@attrs.frozen
class Record:
    """A typed record with an id that its writer made.

    A record that is appended again after a lost answer keeps its id; folds ignore
    every repeat of an id.
    """

    record_id: str = attrs.field(validator=attrs.validators.min_len(1))
    body: Any
