"""Bodies of the administration API's requests and answers."""

import attrs


@attrs.frozen
class DeploymentView:
    """What is deployed and which configuration version is in force here."""

    deployment: str
    version: int
    regions: dict[str, tuple[str, ...]]
    services: tuple[str, ...]
    workspaces: tuple[str, ...]


@attrs.frozen
class VersionView:
    """One configuration version; ``published_at`` is in seconds since the epoch."""

    version: int
    author: str
    note: str
    published_at: float
    in_force: bool


@attrs.frozen
class VersionList:
    """Recent configuration versions, the newest first."""

    versions: tuple[VersionView, ...]


@attrs.frozen
class PublishRequest:
    """A new configuration as the text of a questionnaire.

    It takes effect only if ``base_version`` is still in force.
    """

    base_version: int
    questionnaire: str
    note: str = ""


@attrs.frozen
class PublishAnswer:
    """The version that a publication got."""

    version: int


@attrs.frozen
class WorkspaceView:
    """A workspace with its limits and the ids of its keys."""

    name: str
    share: float
    requests_per_s: float
    concurrency: int
    keys: tuple[str, ...]


@attrs.frozen
class WorkspaceList:
    """All workspaces."""

    workspaces: tuple[WorkspaceView, ...]


@attrs.frozen
class KeyView:
    """A key without its salt and digest; one of workspace and operator is set."""

    key_id: str
    workspace: str = ""
    operator: str = ""
    role: str = ""
    issued_by: str = ""


@attrs.frozen
class KeyList:
    """All keys in force."""

    keys: tuple[KeyView, ...]


@attrs.frozen
class IssueRequest:
    """Asks for a key of a workspace, or for a token of an operator with a role."""

    workspace: str = ""
    operator: str = ""
    role: str = "viewer"


@attrs.frozen
class IssueAnswer:
    """A new key. ``token`` is shown this once and kept nowhere."""

    key_id: str
    token: str
    version: int


@attrs.frozen
class ChangeAnswer:
    """The configuration version in which a change takes effect."""

    version: int


@attrs.frozen
class InstanceView:
    """An instance as this entry sees it.

    ``state`` is live, leaving, draining or silent, ``seen_s`` the age in seconds of
    the last news of it, and ``config_version`` the version it last named.
    """

    name: str
    role: str
    region: str
    availability_zone: str
    address: str
    state: str
    config_version: int
    seen_s: float = 0.0
    service: str = ""


@attrs.frozen
class InstanceList:
    """All instances that this entry knows."""

    instances: tuple[InstanceView, ...]


@attrs.frozen
class StatusView:
    """Which version is in force where; ``lacking`` names instances without it."""

    deployment: str
    version: int
    instances: int
    lacking: tuple[str, ...]
    ready: bool


@attrs.frozen
class DrainAnswer:
    """The state of an instance after a drain order."""

    name: str
    state: str


@attrs.frozen
class JobView:
    """A batch job. Times are in seconds since the epoch; 0 where there is none."""

    job_id: str
    workspace: str
    state: str
    items: int
    completed: int
    failed: int
    created_at: float = 0.0
    due_at: float = 0.0
    service: str = ""


@attrs.frozen
class JobList:
    """Batch jobs of all workspaces or of one."""

    jobs: tuple[JobView, ...]


@attrs.frozen
class QuarantineView:
    """A request that crashed backend servers and is refused for ``expires_s``."""

    fingerprint: str
    service: str
    crashes: int
    expires_s: float


@attrs.frozen
class QuarantineList:
    """All quarantined requests that this entry knows."""

    requests: tuple[QuarantineView, ...]


@attrs.frozen
class Done:
    """The answer to a change that has no other result."""

    done: bool = True
