"""The sequence numbers of one producer and what is known about the last one."""

from enum import Enum

import attrs


class AppendState(Enum):
    """What is known about the append with the current number.

    ``FREE``: no call with the number can be applied; it may be used for any records.
    ``SENT``: a call is under way, and no earlier one can be applied.
    ``UNKNOWN``: a call had no response, and may be applied now or later.
    ``SETTLED``: the append is applied, or never will be.
    """

    FREE = "free"
    SENT = "sent"
    UNKNOWN = "unknown"
    SETTLED = "settled"


class Step(Enum):
    """The call to make next.

    ``SEND`` sends the records, ``FENCE`` appends nothing under a higher epoch, and
    ``READ`` looks for the records in the log.
    """

    SEND = "send"
    FENCE = "fence"
    READ = "read"


class CallOutcome(Enum):
    """How a call ended.

    ``DONE``: the store did it. ``NO_RESPONSE``: the store may do it yet. ``NOT_NOW``:
    it was not done, and may be tried again. ``REFUSED``: it was not done, and the store
    refuses these records. ``OUT_OF_ORDER``: it was not done, because of its epoch or
    number.
    """

    DONE = "done"
    NO_RESPONSE = "no response"
    NOT_NOW = "not now"
    REFUSED = "refused"
    OUT_OF_ORDER = "out of order"


@attrs.define
class AppendSequence:
    """Numbers a producer's appends, so that no number stands for two of them.

    The store takes a call with a number that it knows for a repeat. As long as a call
    without a response may still be applied, its number must therefore not be used for
    other records, and an error of its repeat says nothing about it. An unknown append
    is settled by the response to a repeat, or behind a fence: after an append with a
    higher epoch the store applies no earlier call any more, so that a read of the log
    tells whether it was applied.

        sequence.begin()  # Step.SEND, with sequence.epoch and sequence.number
        sequence.end(CallOutcome.NO_RESPONSE)  # state UNKNOWN: send again
        sequence.begin()
        sequence.end(CallOutcome.REFUSED)  # still UNKNOWN: the step is FENCE, then READ

    Handles the load of one partition: one call at a time.
    """

    epoch: int = 1
    number: int = 0
    state: AppendState = AppendState.FREE
    step: Step = Step.SEND
    is_applied: bool = False

    @property
    def may_be_applied(self) -> bool:
        """Whether the store may have applied the current append, or may do so yet."""
        return self.state in (AppendState.SENT, AppendState.UNKNOWN)

    def begin(self) -> Step:
        """Notes that a call is about to be made and returns which one."""
        if self.state is AppendState.SETTLED:
            raise ValueError("the settled append has not been taken")
        if self.state is AppendState.FREE:
            self.state = AppendState.SENT
        return self.step

    def end(self, outcome: CallOutcome) -> None:
        """Notes how the call under way ended.

        The end of a read is noted by `settle` instead, unless the read failed.
        """
        if self.state is AppendState.SENT:
            self._end_first(outcome)
        elif self.step is Step.SEND:
            self._end_repeat(outcome)
        elif self.step is Step.FENCE:
            self._end_fence(outcome)

    def settle(self, is_applied: bool) -> None:
        """Notes whether the log, read behind the fence, holds the records."""
        if self.step is not Step.READ:
            raise ValueError("only a read behind a fence settles an append")
        self._settle(is_applied)

    def take(self) -> bool:
        """Ends the settled append and frees the number; returns whether it is applied.

        The next append has another number unless this one can never be applied.
        """
        if self.state is not AppendState.SETTLED:
            raise ValueError(f"the append is {self.state.value}, not settled")
        if self.is_applied and self.step is Step.SEND:
            self.number += 1
        self.state, self.step = AppendState.FREE, Step.SEND
        return self.is_applied

    def _end_first(self, outcome: CallOutcome) -> None:
        if outcome is CallOutcome.DONE:
            self._settle(True)
        elif outcome is CallOutcome.REFUSED:
            self._settle(False)
        elif outcome is CallOutcome.NO_RESPONSE:
            self.state = AppendState.UNKNOWN
        else:
            self.state = AppendState.FREE
            if outcome is CallOutcome.OUT_OF_ORDER:
                self._raise_epoch()

    def _end_repeat(self, outcome: CallOutcome) -> None:
        if outcome is CallOutcome.DONE:
            self._settle(True)
        elif outcome in (CallOutcome.REFUSED, CallOutcome.OUT_OF_ORDER):
            # Says nothing about the earlier call, and further repeats may not either.
            self.step = Step.FENCE
            self._raise_epoch()

    def _end_fence(self, outcome: CallOutcome) -> None:
        if outcome is CallOutcome.DONE:
            self.step = Step.READ
            self.number += 1
        elif outcome is CallOutcome.OUT_OF_ORDER:
            self._raise_epoch()

    def _raise_epoch(self) -> None:
        # An epoch may start at any number.
        self.epoch += 1
        self.number = 0

    def _settle(self, is_applied: bool) -> None:
        self.state = AppendState.SETTLED
        self.is_applied = is_applied
