"""Answers about applications and what their users tolerate."""

import attrs
from attrs import validators as v

from ..settings import setting
from ._choices import Consequence


@attrs.frozen
class ApplicationAnswers:
    """A use that callers make of a service."""

    name: str = setting("What is this application called?", validator=v.min_len(1))
    service: str = setting("Which service answers it?", validator=v.min_len(1))
    purpose: str = setting("What do people use it for?", default="")
    first_reply_s: float = setting(
        "Within how many seconds must the answer begin? Above 0.",
        default=0.7,
        validator=v.gt(0),
    )
    words_per_s: float = setting(
        "How fast must the answer go on, in words a second? Above 0.",
        default=18.75,
        validator=v.gt(0),
    )
    good_percent: float = setting(
        "How many of 100 answers must meet these two times? Above 0 and below 100.",
        default=95.0,
        validator=[v.gt(0), v.lt(100)],
    )
    give_up_s: float = setting(
        "After how many seconds is an answer of no use any more? Above 0.",
        default=30.0,
        validator=v.gt(0),
    )
    longest_answer_words: int = setting(
        "How many words may the longest answer have? 1 or more.",
        default=750,
        validator=v.ge(1),
    )
    slow_reply: Consequence = setting(
        "What is a slow reply to a waiting person: nuisance, costly or unacceptable?",
        default=Consequence.COSTLY,
    )
    late_batch: Consequence = setting(
        "What is a batch job that ends late: nuisance, costly or unacceptable?",
        default=Consequence.COSTLY,
    )
