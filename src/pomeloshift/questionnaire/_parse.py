"""Parses questionnaires."""

from ..settings import SettingsError, add_lines, parse_json, structure
from ._answers import Answers
from ._checks import check_answers
from ._errors import AnswersError


def parse_answers(text: str, file: str = "") -> Answers:
    """Returns the answers in a questionnaire.

    ``file`` is the name that messages show. Raises `AnswersError` with every fault of
    single answers and every fault that concerns several answers.
    """
    try:
        data = parse_json(text, file)
    except SettingsError as exc:
        raise AnswersError(exc.faults, file) from exc
    answers, faults = structure(data, Answers)
    faults += check_answers(data)
    if answers is None or faults:
        raise AnswersError(add_lines(text, faults), file)
    return answers
