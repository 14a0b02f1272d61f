"""How the memory of a process is divided among its untrusted callers.

The load that it handles: any number of callers whose requests together exceed the
memory, of which most may stop before the end of their request or never read.
"""

from ._account import Account, Kind
from ._budget import Decisions, MemoryBudget
from ._policy import MemoryPolicy

__all__ = ["Account", "Decisions", "Kind", "MemoryBudget", "MemoryPolicy"]
