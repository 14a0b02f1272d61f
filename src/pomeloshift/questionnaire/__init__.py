"""The questionnaire of a deployment and the configuration generated from it."""

from ._answers import Answers
from ._applications import ApplicationAnswers
from ._ask import ask_answers
from ._choices import Consequence, Importance, Role
from ._diff import Change, diff_configurations
from ._errors import AnswersError
from ._examples import EXAMPLE_NAMES, UnknownExampleError, example_text, load_example
from ._explanation import Explanation, Source
from ._generate import explain, generate
from ._parse import parse_answers
from ._people import KeyAnswers, OperatorAnswers, WorkspaceAnswers
from ._places import LinkAnswers, RegionAnswers
from ._render import render_answers
from ._services import BackendServerAnswers, CallAnswers, ServiceAnswers
from ._template import template_answers

__all__ = [
    "EXAMPLE_NAMES",
    "Answers",
    "AnswersError",
    "ApplicationAnswers",
    "BackendServerAnswers",
    "CallAnswers",
    "Change",
    "Consequence",
    "Explanation",
    "Importance",
    "KeyAnswers",
    "LinkAnswers",
    "OperatorAnswers",
    "RegionAnswers",
    "Role",
    "ServiceAnswers",
    "Source",
    "UnknownExampleError",
    "WorkspaceAnswers",
    "ask_answers",
    "diff_configurations",
    "example_text",
    "explain",
    "generate",
    "load_example",
    "parse_answers",
    "render_answers",
    "template_answers",
]
