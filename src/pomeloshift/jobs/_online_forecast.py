"""Forecasts how many slots online requests will need while a batch item runs.

It is designed for online load that rises and falls within seconds, at engines whose
batch items run about as long. Items that fill the slots of a trough are preempted in
the next wave, all at once, and online requests at the beginning of the wave find full
engines. Therefore the slots that online requests used in the last wave stay free.
"""

from collections import deque

import attrs

# The horizon in run times of an item. An item that starts now occupies its slot for one
# run; half a run more covers items that run beside others.
HORIZON_RUNS = 1.5
# Interval of the samples, in seconds: a twentieth of a short wave.
SAMPLE_S = 0.2


@attrs.define
class OnlineForecast:
    """The most online requests at once at the engines of a service, recently.

    The peak is that of the whole service: requests are placed at the engines with the
    least work, so that the engines share it evenly.

        forecast = OnlineForecast()
        forecast.observe(online=112.0, engines=28, run_s=4.0, now=now)
        forecast.slots_per_engine(now)
    """

    _samples: deque[tuple[float, float]] = attrs.field(factory=deque)
    _horizon_s: float = 0.0
    _observed_at: float = float("-inf")

    def observe(self, online: float, engines: int, run_s: float, now: float) -> None:
        """Records the online requests at all engines of the service together.

        ``run_s`` is how long a batch item usually runs, in seconds.
        """
        self._horizon_s = HORIZON_RUNS * run_s
        if engines <= 0 or now - self._observed_at < SAMPLE_S:
            return
        self._observed_at = now
        share = online / engines
        while self._samples and self._samples[-1][1] <= share:
            self._samples.pop()
        self._samples.append((now, share))

    def slots_per_engine(self, now: float) -> float:
        """Returns the slots of each engine that online requests may need, 0 at first.

        This is the peak of the last `HORIZON_RUNS` runs of an item.
        """
        while self._samples and now - self._samples[0][0] > self._horizon_s:
            self._samples.popleft()
        return self._samples[0][1] if self._samples else 0.0
