"""The failure to read a questionnaire."""

from ..errors import ErrorCode
from ..settings import SettingsError


class AnswersError(SettingsError):
    """A questionnaire has faults; ``faults`` holds all of them."""

    code = ErrorCode.INVALID_ANSWERS
