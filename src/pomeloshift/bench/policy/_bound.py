"""The offline bound: the most batch tokens that idle capacity allows."""

import math

from ...standins.engine import EngineSettings
from ._online_use import OnlineUse

ROUNDING = 1e-9


def offline_bound(
    use: OnlineUse,
    settings: EngineSettings,
    prefill_per_token: float,
    duration_s: float,
) -> int:
    """Returns the most batch tokens of one engine if the whole trace were known.

    Time is divided into windows of one target step. The online tokens and prompt
    tokens of each window are those of the run without batch work. Together with the
    batch they are charged as a single step. The bound takes the largest batch with
    which the step lasts no longer than the target:

        base + per_sequence * (online + batch)
             + per_prefill_token * (online prompt + batch * prefill_per_token) <= target

    ``prefill_per_token`` is the number of prompt tokens prefilled for each output
    token of batch items, without their shared prefix. Where the decode slots left by
    online streams limit the batch, the steps are shorter and more of them fit into
    the window, counted in fractions. No policy that meets the target reaches the
    bound: it charges the base time once where the online run takes several steps,
    and it counts fractions of batch items.
    """
    windows = math.ceil(duration_s / use.window_s)
    per_token_s = (
        settings.step_per_sequence_s
        + prefill_per_token * settings.step_per_prefill_token_s
    )
    total = 0
    for window in range(windows):
        online_s = settings.step_per_sequence_s * use.tokens[window]
        online_s += settings.step_per_prefill_token_s * use.prefill_tokens[window]
        left_s = use.window_s * settings.speed - online_s
        slots = max(0, settings.decode_slots - use.streams.get(window, 0))
        batch = (left_s - settings.step_base_s) / per_token_s
        if batch > slots:
            steps = left_s / (settings.step_base_s + slots * per_token_s)
            batch = steps * slots
        total += max(0, math.floor(batch + ROUNDING))
    return total
