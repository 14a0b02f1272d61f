"""The envelope of a record in the log."""

from typing import Any

import attrs


@attrs.frozen
class Record:
    """A typed record with an id that its writer chose.

    A record that is appended again after an unknown outcome keeps its id. Readers
    apply the first record of an id and ignore later ones.
    """

    record_id: str = attrs.field(validator=attrs.validators.min_len(1))
    body: Any
