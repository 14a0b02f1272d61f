"""Publishes questionnaires and shows configuration versions."""

from ..config import Configuration, merge_keys
from ..questionnaire import generate, parse_answers
from ._access import AdminNotFoundError, Role
from ._config_service import ConfigPublisher
from ._messages import (
    DeploymentView,
    PublishRequest,
    VersionList,
    VersionView,
    WorkspaceList,
    WorkspaceView,
)
from ._operator import Operator


class ConfigAdmin:
    """Operations on the configuration for operators."""

    def __init__(self, service: ConfigPublisher) -> None:
        self._service = service

    async def publish(self, operator: Operator, req: PublishRequest) -> int:
        """Publishes a questionnaire and returns its version.

        Raises `AnswersError` for an invalid questionnaire, `ConfigConflictError` if
        the base version is not in force, and `RoleError` if the questionnaire changes
        keys and the operator is not an admin.
        """
        answers = parse_answers(req.questionnaire, "questionnaire")
        await self._service.refresh()
        in_force = self._service.current
        cfg = merge_keys(generate(answers), in_force)
        if _changes_keys(cfg, in_force):
            operator.require(Role.ADMIN)
        return await self._service.publish(
            cfg, req.base_version, operator.name, req.note
        )

    def deployment(self) -> DeploymentView:
        """Returns the parts of the deployment; raises `AdminNotFoundError`."""
        cfg = self.in_force()
        return DeploymentView(
            cfg.deployment,
            self._service.version,
            {region.name: region.availability_zones for region in cfg.regions},
            tuple(service.name for service in cfg.services),
            tuple(workspace.name for workspace in cfg.workspaces),
        )

    def versions(self) -> VersionList:
        """Returns the recent versions, the newest first."""
        version = self._service.version
        history = reversed(self._service.state.history)
        return VersionList(
            tuple(
                VersionView(
                    entry.version,
                    entry.author,
                    entry.note,
                    entry.published_at,
                    entry.version == version,
                )
                for entry in history
            )
        )

    def document(self, version: int) -> bytes:
        """Returns the encoded configuration of a recent version.

        Raises `AdminNotFoundError` for a version that is not in the history.
        """
        for entry in self._service.state.history:
            if entry.version == version:
                return entry.document
        raise AdminNotFoundError(f"version {version} is not among the recent ones")

    def workspaces(self) -> WorkspaceList:
        """Returns all workspaces; raises `AdminNotFoundError`."""
        cfg = self.in_force()
        return WorkspaceList(
            tuple(
                WorkspaceView(
                    w.name,
                    w.share,
                    w.requests_per_s,
                    w.concurrency,
                    tuple(k.key_id for k in cfg.api_keys if k.workspace == w.name),
                )
                for w in cfg.workspaces
            )
        )

    def in_force(self) -> Configuration:
        """Returns the configuration in force.

        Raises `AdminNotFoundError` before the first publication.
        """
        cfg = self._service.current
        if cfg is None:
            raise AdminNotFoundError("no configuration has been published yet")
        return cfg


def _changes_keys(cfg: Configuration, in_force: Configuration | None) -> bool:
    if in_force is None:
        return True
    return set(cfg.api_keys) != set(in_force.api_keys) or (
        set(cfg.operator_keys) != set(in_force.operator_keys)
    )
