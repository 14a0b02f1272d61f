"""A stand-in for the platform's rate-limited weight store."""

from ._model import WeightModel
from ._server import UnknownWeightsError, WeightsRateError, WeightsServer
from ._settings import WeightsSettings

__all__ = [
    "UnknownWeightsError",
    "WeightModel",
    "WeightsRateError",
    "WeightsServer",
    "WeightsSettings",
]
