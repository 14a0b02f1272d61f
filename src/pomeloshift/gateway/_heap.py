"""Makes the C library return freed memory to the system."""

import ctypes

M_MMAP_THRESHOLD = -3
# Blocks of this size have their own mapping, which is returned when they are freed and
# grows without a copy. By default the threshold rises to the size of freed blocks, and
# larger ones then leave holes among small blocks that live longer.
MAPPED_BYTES = 128 * 1024


def return_freed_memory() -> bool:
    """Fixes the threshold for mapped blocks; False where the library has none."""
    try:
        return bool(ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES))
    except (OSError, AttributeError):
        return False
