"""An instance of the fleet, as the platform's instance list describes it."""

from enum import Enum

import attrs

from ._place import Place


class InstanceRole(Enum):
    """The role that an instance runs."""

    ENTRY = "entry"
    BACKEND_SERVER = "backend_server"


class InstanceState(Enum):
    """The state that the platform's instance list gives for an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Instance:
    """An instance with its role, place and addresses.

    ``address`` is ``host:port`` of its HTTP interface. ``control_address`` is the
    pynng URL of an entry's control socket and ``service`` the service of a backend
    server; either is empty for the other role.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    role: InstanceRole
    place: Place
    address: str
    control_address: str = ""
    state: InstanceState = InstanceState.LIVE
    service: str = ""
