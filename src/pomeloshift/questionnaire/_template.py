"""A template of a questionnaire."""

from ._answers import Answers
from ._applications import ApplicationAnswers
from ._choices import Role
from ._people import KeyAnswers, OperatorAnswers, WorkspaceAnswers
from ._places import RegionAnswers
from ._services import BackendServerAnswers, ServiceAnswers


def template_answers(
    deployment: str, workspace_key: KeyAnswers, operator_key: KeyAnswers
) -> Answers:
    """Returns valid answers with one region, service and so on, to be edited."""
    return Answers(
        deployment=deployment,
        regions=(RegionAnswers("region-1", ("zone-a",)),),
        services=(ServiceAnswers("assistant", (BackendServerAnswers("assistant-1"),)),),
        applications=(ApplicationAnswers("questions", "assistant"),),
        workspaces=(WorkspaceAnswers("team-1", ("questions",), keys=(workspace_key,)),),
        operators=(OperatorAnswers("admin", operator_key, Role.ADMIN),),
    )
