"""A stand-in for a plain service whose calls may not all be repeated."""

from ._fault import ServiceFault
from ._ledger import CallCount, CallLedger
from ._server import PlainServiceServer
from ._settings import ServiceSettings

__all__ = [
    "CallCount",
    "CallLedger",
    "PlainServiceServer",
    "ServiceFault",
    "ServiceSettings",
]
