"""The most batch tokens that idle capacity allows."""

import math

from ...standins.engine import EngineSettings
from ._online_use import OnlineUse

ROUNDING = 1e-9


def offline_bound(
    use: OnlineUse,
    settings: EngineSettings,
    read_per_token: float,
    duration_s: float,
) -> int:
    """Returns the batch tokens that one engine could give knowing the whole trace.

    Time is cut into windows of one target step. The online tokens and prompt tokens
    of each window are those of the run without batch work. They and the batch are
    charged as a single step, which is filled to the largest batch whose step still
    lasts no longer than the target:

        base + per_sequence * (online + batch)
             + per_prefill_token * (online prompt + batch * read_per_token) <= target

    ``read_per_token`` is the number of prompt tokens that batch items need read for
    each token they produce, without the prefix that they share. Where the decode
    slots that the online streams leave run out first, the steps are shorter and more
    of them, in any fraction, fit into the window. No policy that keeps the target
    reaches the bound: it charges one base time where the online run takes several
    steps, and batch items come in any fraction.
    """
    windows = math.ceil(duration_s / use.window_s)
    per_token_s = (
        settings.step_per_sequence_s
        + read_per_token * settings.step_per_prefill_token_s
    )
    total = 0
    for window in range(windows):
        online_s = settings.step_per_sequence_s * use.tokens[window]
        online_s += settings.step_per_prefill_token_s * use.read_tokens[window]
        left_s = use.window_s * settings.speed - online_s
        slots = max(0, settings.decode_slots - use.streams.get(window, 0))
        batch = (left_s - settings.step_base_s) / per_token_s
        if batch > slots:
            steps = left_s / (settings.step_base_s + slots * per_token_s)
            batch = steps * slots
        total += max(0, math.floor(batch + ROUNDING))
    return total
