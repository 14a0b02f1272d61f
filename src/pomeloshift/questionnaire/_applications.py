"""Answers about applications and the delays that their users tolerate."""

import attrs
from attrs import validators as v

from ..settings import setting
from ._choices import Consequence


@attrs.frozen
class ApplicationAnswers:
    """One use case of a service, with its requirements."""

    name: str = setting("What is this application called?", validator=v.min_len(1))
    service: str = setting("Which service answers it?", validator=v.min_len(1))
    purpose: str = setting("What do people use it for?", default="")
    first_reply_s: float = setting(
        "Within how many seconds must the answer begin? From 0.001 to 3600.",
        default=0.7,
        validator=[v.ge(0.001), v.le(3600)],
    )
    words_per_s: float = setting(
        "How fast must the answer go on, in words a second? From 0.1 to 1000.",
        default=18.75,
        validator=[v.ge(0.1), v.le(1000)],
    )
    good_percent: float = setting(
        "How many of 100 answers must meet these two times? From 1 to 99.999.",
        default=95.0,
        validator=[v.ge(1), v.le(99.999)],
    )
    give_up_s: float = setting(
        "After how many seconds is an answer of no use any more? Above 0, at most "
        "86400.",
        default=30.0,
        validator=[v.gt(0), v.le(86_400)],
    )
    longest_answer_words: int = setting(
        "How many words may the longest answer have? From 1 to 1000000.",
        default=750,
        validator=[v.ge(1), v.le(1_000_000)],
    )
    slow_reply: Consequence = setting(
        "What is a slow reply to a waiting person: nuisance, costly or unacceptable?",
        default=Consequence.COSTLY,
    )
    late_batch: Consequence = setting(
        "What is a batch job that ends late: nuisance, costly or unacceptable?",
        default=Consequence.COSTLY,
    )
