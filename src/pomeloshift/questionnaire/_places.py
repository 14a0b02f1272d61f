"""Answers about regions and the link between them."""

import attrs
from attrs import validators as v

from ..settings import setting


@attrs.frozen
class RegionAnswers:
    """A region in which instances run."""

    name: str = setting("What is this region called?", validator=v.min_len(1))
    availability_zones: tuple[str, ...] = setting(
        "Which availability zones does it have? Name at least one.",
        validator=v.min_len(1),
    )


@attrs.frozen
class LinkAnswers:
    """The link between the regions, and its shares for online and batch work."""

    megabits_per_s: float = setting(
        "How many megabits a second can cross between regions, each way? From 0.001 "
        "to 1000000.",
        default=15.0,
        validator=[v.ge(0.001), v.le(1_000_000)],
    )
    online_percent: float = setting(
        "How much of it may serve callers while their own region is full? "
        "From 0 to 100 percent.",
        default=50.0,
        validator=[v.ge(0), v.le(100)],
    )
    batch_percent: float = setting(
        "How much of it may carry batch work? From 0 to 100 percent; 0 keeps batch "
        "work in its region.",
        default=0.0,
        validator=[v.ge(0), v.le(100)],
    )
