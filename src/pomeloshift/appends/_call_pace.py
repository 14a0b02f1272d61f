"""Learns how large an append may be that the store takes in a short time."""

import attrs

# How long a call of the size limit should take, in seconds: other records wait for it.
CALL_S = 0.25
# The first and the smallest size limit, in bytes. The time of smaller calls is mostly
# latency, which a lower limit would not shorten.
MIN_CALL_BYTES = 64 * 1024
# The slowest path on which an append is still waited for, in bytes per second: a link
# between two regions that the gateways of one share.
MIN_BYTES_PER_S = 64 * 1024


def slowest_transfer_s(size: int) -> float:
    """Returns the seconds that ``size`` bytes take on the slowest path."""
    return size / MIN_BYTES_PER_S


@attrs.define
class CallPace:
    """Limits the size of appends by the time that earlier ones took.

    A path to the store may be slow, and shared with other processes. An append that
    takes long keeps other records waiting, and one that is given up too early never
    gets through, however often it is repeated.

        pace = CallPace(max_bytes=1_048_576, response_s=1.0)
        pace.call_bytes  # 65536
        pace.note_response(65536, took_s=0.08)
        pace.call_bytes  # 131072

    ``max_bytes`` is the largest size limit, in bytes, and ``response_s`` the time in
    seconds after which the response to a call without records counts as lost. Handles
    the load of one process: one call of each topic at a time.
    """

    max_bytes: int
    response_s: float
    call_bytes: int = attrs.field(init=False)

    @call_bytes.default
    def _first_limit(self) -> int:
        return min(MIN_CALL_BYTES, self.max_bytes)

    def timeout_s(self, size: int, lost_calls: int = 0) -> float:
        """Returns the seconds after which a call of ``size`` bytes counts as lost.

        ``lost_calls`` is the number of calls with the same records that had no
        response. Each doubles the time that is allowed for the transfer, up to what
        the slowest path takes.
        """
        expected_s = CALL_S * size / self.call_bytes
        transfer_s = min(2 * expected_s * 2**lost_calls, slowest_transfer_s(size))
        return self.response_s + transfer_s

    def note_response(self, size: int, took_s: float) -> None:
        """Records that the store responded to a call of ``size`` bytes."""
        if 2 * size <= self.call_bytes:
            return
        if took_s <= CALL_S:
            self.call_bytes = min(2 * self.call_bytes, self.max_bytes)
        elif took_s > 2 * CALL_S:
            self._halve()

    def note_lost(self, size: int) -> None:
        """Records that a call of ``size`` bytes had no response in time."""
        if 2 * size > self.call_bytes:
            self._halve()

    def _halve(self) -> None:
        smallest = min(MIN_CALL_BYTES, self.max_bytes)
        self.call_bytes = max(smallest, self.call_bytes // 2)
