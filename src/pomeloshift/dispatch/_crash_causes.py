"""Finds the prompt parts that explain the crashes of engines."""

from collections.abc import Iterable

import attrs


@attrs.frozen
class SuspectPart:
    """A prompt part and the crashes of engines that ran requests with it.

    ``position`` is its place in the prompts, and ``min_crashes`` the number of
    unexplained crashes from which it counts as their cause.
    """

    key: str
    crashes: frozenset[str]
    position: int = 0
    min_crashes: int = 3


def find_causes(
    suspects: Iterable[SuspectPart], requests: Iterable[frozenset[str]] = ()
) -> frozenset[str]:
    """Returns the keys of the parts that cause the crashes.

    A crash takes all requests of its engine with it, so each part of these requests is
    suspected. The part with the most crashes is their cause, and only crashes that it
    does not explain count against the others. Of parts with equally many crashes, the
    one at the latest position is chosen: a prompt shares its first parts with the most
    other prompts.

    ``requests`` holds the crashes of each request that is quarantined itself. A part
    that was in no crash beyond those of one such request is no cause.

        a = SuspectPart("a", frozenset({"c1", "c2", "c3"}), position=0)
        b = SuspectPart("b", frozenset({"c1", "c2", "c3"}), position=1)
        find_causes([a, b])  # frozenset({"b"})
    """
    quarantined = list(requests)
    unexplained = {part: set(part.crashes) for part in suspects}
    causes = set()
    while unexplained:
        part = max(unexplained, key=lambda p: (len(unexplained[p]), p.position, p.key))
        crashes = unexplained.pop(part)
        if not crashes:
            break
        is_one_request = any(crashes <= request for request in quarantined)
        if len(crashes) < part.min_crashes or is_one_request:
            continue
        causes.add(part.key)
        for others in unexplained.values():
            others -= crashes
    return frozenset(causes)
