"""One machine of the fleet as the live list shows it."""

from enum import Enum

import attrs

from ._place import Place


class InstanceRole(Enum):
    """What an instance runs."""

    ENTRY = "entry"
    BACKEND_SERVER = "backend_server"


class InstanceState(Enum):
    """The state in the platform's live list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Instance:
    """An instance with its addresses.

    ``address`` is ``host:port`` of its HTTP interface and ``control_address`` the
    pynng URL of an entry's control socket; a backend server has none.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    role: InstanceRole
    place: Place
    address: str
    control_address: str = ""
    state: InstanceState = InstanceState.LIVE
    service: str = ""
