"""The cache of prompt prefixes."""

from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable, Sequence

from ._work import BLOCK_TOKENS


class PrefixCache:
    """An LRU cache of prefix blocks that holds up to ``capacity_tokens``.

    ``on_change`` is called with each block, and `True` when the block was stored or
    `False` when it was evicted.
    """

    def __init__(
        self,
        capacity_tokens: int,
        on_change: Callable[[Hashable, bool], None] | None = None,
    ) -> None:
        self._capacity = capacity_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[Hashable, None] = OrderedDict()
        self._on_change = on_change

    @property
    def blocks(self) -> tuple[Hashable, ...]:
        """The cached blocks, the least recently used one first."""
        return tuple(self._blocks)

    def hit_tokens(self, blocks: Sequence[Hashable]) -> int:
        """Returns how many leading tokens are cached and marks their blocks as used."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits * BLOCK_TOKENS

    def store(self, blocks: Iterable[Hashable]) -> None:
        """Adds blocks and evicts the least recently used ones beyond the capacity."""
        cached = self._blocks
        for block in blocks:
            if block in cached:
                cached.move_to_end(block)
                continue
            cached[block] = None
            self._notify(block, True)
        while len(cached) > self._capacity:
            block, _ = cached.popitem(last=False)
            self._notify(block, False)

    def _notify(self, block: Hashable, stored: bool) -> None:
        if self._on_change is not None:
            self._on_change(block, stored)
