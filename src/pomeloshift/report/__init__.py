"""SLO accounting: counts of requests and the report on error-budget burn."""

from ._compute import compute_report
from ._counts import BurnCell, BurnCounts, BurnKey, Spent
from ._evaluate import IndicatorResult, evaluate
from ._histograms import EncodedHistogram, Histograms
from ._history import BurnHistory
from ._indicator import Indicator, SpendCause
from ._recorder import BurnRecorder
from ._render_html import render_html
from ._render_text import render_text
from ._report import (
    BurnPoint,
    BurnReport,
    BurnSeries,
    CauseShare,
    ObjectiveBurn,
    WindowBurn,
)
from ._sample import RequestSample
from ._summary import BURN_STREAM, BurnRollup, BurnSummary

__all__ = [
    "BURN_STREAM",
    "BurnCell",
    "BurnCounts",
    "BurnHistory",
    "BurnKey",
    "BurnPoint",
    "BurnRecorder",
    "BurnReport",
    "BurnRollup",
    "BurnSeries",
    "BurnSummary",
    "CauseShare",
    "EncodedHistogram",
    "Histograms",
    "Indicator",
    "IndicatorResult",
    "ObjectiveBurn",
    "RequestSample",
    "SpendCause",
    "Spent",
    "WindowBurn",
    "compute_report",
    "evaluate",
    "render_html",
    "render_text",
]
