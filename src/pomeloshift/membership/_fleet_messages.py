"""Effects that a fleet view returns."""

import attrs

from ..model import Instance
from ._member import MemberState


@attrs.frozen
class MemberFound:
    """A backend server was seen for the first time, or again after it was gone.

    ``incarnation`` is 0 if only the instance list has shown the server.
    """

    instance: Instance
    incarnation: int


@attrs.frozen
class StateChanged:
    """A member's state changed to ``state``."""

    name: str
    state: MemberState


@attrs.frozen
class MemberLost:
    """A backend server or its engine ended without a drain.

    ``running`` lists the work in the last report; this work may have caused the crash.
    """

    name: str
    incarnation: int
    running: tuple[str, ...] = ()


@attrs.frozen
class MemberLeft:
    """A backend server that was leaving has ended."""

    name: str
    incarnation: int


@attrs.frozen
class NewerConfigSeen:
    """A member applies a newer configuration than this process."""

    name: str
    version: int


FleetEffect = MemberFound | StateChanged | MemberLost | MemberLeft | NewerConfigSeen
