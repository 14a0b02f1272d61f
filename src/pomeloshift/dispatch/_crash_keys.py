"""The keys under which the crashes of engines are counted."""

import attrs

PART_PREFIX = "part-"


@attrs.frozen
class CrashKeys:
    """What a request has in common with others that may crash engines like it.

    ``fingerprint`` identifies the request and its retries, empty for a batch item.
    ``parts`` holds the ids of the parts of its prompt that other requests may share,
    the first one first.

        CrashKeys("1e32", ("5c1e",)).part_keys == ("part-5c1e",)
    """

    fingerprint: str = ""
    parts: tuple[str, ...] = ()

    @property
    def part_keys(self) -> tuple[str, ...]:
        """The keys of the parts, which differ from all fingerprints."""
        return tuple(PART_PREFIX + part for part in self.parts)

    @property
    def all(self) -> tuple[str, ...]:
        """All keys of the request."""
        return (
            (self.fingerprint, *self.part_keys) if self.fingerprint else self.part_keys
        )


def is_part(key: str) -> bool:
    """Returns whether a key is that of a prompt part."""
    return key.startswith(PART_PREFIX)
