"""The state of one sequence inside the engine model."""

import attrs

from ._work import BLOCK_TOKENS, EngineWork


@attrs.define(eq=False)
class Sequence:
    """A sequence that waits, is in prefill, or decodes.

    ``first_step`` is the number of the step that produced its first token in this
    run, or -1 before that. The tokens produced follow from it, because a decoding
    sequence produces one token in each step. ``kv_tokens`` is the memory reserved for
    it; ``prefill_tokens`` is the length of its prefill without cached blocks, of which
    ``prefill_left`` tokens remain.
    """

    work: EngineWork
    kv_tokens: int
    prefill_tokens: int = 0
    prefill_left: int = 0
    first_step: int = -1
    cancelled: bool = False

    def produced(self, step: int) -> int:
        """Returns the tokens produced in this run by the end of ``step``."""
        if self.first_step < 0:
            return 0
        return min(self.run_tokens, step - self.first_step + 1)

    @property
    def run_tokens(self) -> int:
        """The tokens that this run produces if it is not cancelled."""
        return self.work.output_tokens - self.work.done_tokens

    def blocks_at(self, step: int) -> tuple[object, ...]:
        """Returns the keys of the sequence's full blocks at the end of ``step``.

        There are none before its first token.
        """
        if self.first_step < 0:
            return ()
        done = self.work.done_tokens + self.produced(step)
        return blocks_with_output(self.work, done)


def blocks_with_output(work: EngineWork, done_tokens: int) -> tuple[object, ...]:
    """Returns the block keys of a prompt followed by ``done_tokens`` of output."""
    if not work.blocks:
        return ()
    last = work.blocks[-1]
    total = (work.prompt_tokens + done_tokens) // BLOCK_TOKENS
    extra = total - len(work.blocks)
    return work.blocks + tuple((last, number) for number in range(extra))
