"""Decisions about workspaces: which callers are served, and for how long."""

from ._caller import Caller
from ._config_lease import ConfigLease
from ._key_check import KeyCheck, KeyDecision, Verdict

__all__ = ["Caller", "ConfigLease", "KeyCheck", "KeyDecision", "Verdict"]
