"""The questionnaires of two real deployments, as examples."""

from importlib import resources

from ..errors import ErrorCode, PomeloshiftError, Ran
from ._answers import Answers
from ._parse import parse_answers

EXAMPLE_NAMES = ("kalivati", "vezi")


class UnknownExampleError(PomeloshiftError):
    """No example has this name."""

    code = ErrorCode.NOT_FOUND
    ran = Ran.NO


def example_text(name: str) -> str:
    """Returns the questionnaire of the example ``vezi`` or ``kalivati`` as text.

    Raises `UnknownExampleError` for any other name.
    """
    if name not in EXAMPLE_NAMES:
        raise UnknownExampleError(
            f"there is no example {name!r}; the examples are {', '.join(EXAMPLE_NAMES)}"
        )
    package = resources.files(__package__ or "")
    return (package / "examples" / f"{name}.jsonc").read_text("utf-8")


def load_example(name: str) -> Answers:
    """Returns the answers of an example."""
    return parse_answers(example_text(name), f"{name}.jsonc")
