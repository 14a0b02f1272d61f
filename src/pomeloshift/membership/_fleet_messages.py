"""What a fleet view tells its owner."""

import attrs

from ..model import Instance
from ._member import MemberState


@attrs.frozen
class MemberFound:
    """A backend server was met for the first time, or came back."""

    instance: Instance
    incarnation: int


@attrs.frozen
class StateChanged:
    """A member's state changed."""

    name: str
    state: MemberState


@attrs.frozen
class MemberLost:
    """A backend server or its engine ended without leaving.

    What ran there may have caused it. ``running`` names the work that it last
    reported.
    """

    name: str
    incarnation: int
    running: tuple[str, ...] = ()


@attrs.frozen
class MemberLeft:
    """A leaving backend server has ended."""

    name: str
    incarnation: int


@attrs.frozen
class NewerConfigSeen:
    """A member applies a newer configuration than this process."""

    name: str
    version: int


FleetEffect = MemberFound | StateChanged | MemberLost | MemberLeft | NewerConfigSeen
