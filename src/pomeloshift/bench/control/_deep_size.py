"""Sums the memory of an object and of all that it refers to."""

import gc
import sys
import types
from typing import Any

SHARED_TYPES = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType)


def deep_size(root: Any) -> int:
    """Returns the bytes of an object with everything that only data refers to.

    Classes, functions and modules are shared by the whole process and not counted.
    """
    seen: set[int] = set()
    waiting = [root]
    size = 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen or isinstance(item, SHARED_TYPES):
            continue
        seen.add(id(item))
        size += sys.getsizeof(item)
        waiting += gc.get_referents(item)
    return size
