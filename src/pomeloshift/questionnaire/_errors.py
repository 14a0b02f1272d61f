"""The error raised for an invalid questionnaire."""

from ..errors import ErrorCode
from ..settings import SettingsError


class AnswersError(SettingsError):
    """A questionnaire is invalid; ``faults`` holds all of its faults."""

    code = ErrorCode.INVALID_ANSWERS
