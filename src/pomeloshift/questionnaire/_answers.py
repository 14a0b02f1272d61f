"""The whole questionnaire."""

import attrs
from attrs import validators as v

from ..settings import setting
from ._applications import ApplicationAnswers
from ._people import OperatorAnswers, WorkspaceAnswers
from ._places import LinkAnswers, RegionAnswers
from ._services import ServiceAnswers


@attrs.frozen
class Answers:
    """The answers of operators about a deployment.

    The questions are about applications, callers, regions and the tolerance for slow or
    late responses. `generate` derives every value of the configuration from them.
    """

    deployment: str = setting("What is the deployment called?", validator=v.min_len(1))
    regions: tuple[RegionAnswers, ...] = setting(
        "In which regions does it run? Name at least one.", validator=v.min_len(1)
    )
    services: tuple[ServiceAnswers, ...] = setting(
        "Which services does it run? Name at least one.", validator=v.min_len(1)
    )
    applications: tuple[ApplicationAnswers, ...] = setting(
        "Which applications use them? Name at least one.", validator=v.min_len(1)
    )
    workspaces: tuple[WorkspaceAnswers, ...] = setting(
        "Which workspaces call it? Name at least one.", validator=v.min_len(1)
    )
    link: LinkAnswers = setting(
        "What is the link between the regions?", default=LinkAnswers()
    )
    operators: tuple[OperatorAnswers, ...] = setting("Who operates it?", default=())
    results_kept_days: float = setting(
        "For how many days must results of batch jobs stay readable? From 0.01 to "
        "3650.",
        default=7.0,
        validator=[v.ge(0.01), v.le(3650)],
    )
