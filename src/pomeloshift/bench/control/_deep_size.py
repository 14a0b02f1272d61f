"""Computes the memory of an object and of all objects that it refers to."""

import gc
import sys
import types
from typing import Any

SHARED_TYPES = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType)


def deep_size(root: Any) -> int:
    """Returns the size in bytes of an object and of all objects reachable from it.

    Classes, functions and modules are not counted: the whole process shares them.
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
