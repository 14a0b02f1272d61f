"""Bodies of the administration API's requests and responses."""

import attrs


@attrs.frozen
class DeploymentView:
    """The parts of a deployment and the version in force at the responding entry."""

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

    It is accepted only if ``base_version`` is still in force. ``note`` is a remark for
    the history.
    """

    base_version: int
    questionnaire: str
    note: str = ""


@attrs.frozen
class PublishAnswer:
    """The version number of a publication."""

    version: int


@attrs.frozen
class WorkspaceView:
    """A workspace with its limits and the ids of its keys.

    ``share`` is its weight when capacity is short, and ``concurrency`` its limit of
    concurrent requests.
    """

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
    """A key without its salt and digest; either workspace or operator is set."""

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
    """A new key. ``token`` is returned only here and not stored anywhere."""

    key_id: str
    token: str
    version: int


@attrs.frozen
class ChangeAnswer:
    """The configuration version that contains a change."""

    version: int


@attrs.frozen
class InstanceView:
    """An instance as this entry sees it.

    ``state`` is live, leaving, draining or silent, which means that its heartbeats
    stopped. ``seen_s`` is the age in seconds of its last heartbeat and
    ``config_version`` the version that it last reported.
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
    """All instances known to the responding entry."""

    instances: tuple[InstanceView, ...]


@attrs.frozen
class StatusView:
    """The version in force; ``lacking`` names the instances without it.

    ``instances`` is their number, and ``ready`` is false before the first publication.
    """

    deployment: str
    version: int
    instances: int
    lacking: tuple[str, ...]
    ready: bool


@attrs.frozen
class DrainAnswer:
    """The state of an instance after a drain command."""

    name: str
    state: str


@attrs.frozen
class JobView:
    """A batch job. Times are in seconds since the epoch, and 0 if unknown."""

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
    """A request that is rejected because it crashed backend servers.

    ``expires_s`` is the time in seconds until the quarantine ends.
    """

    fingerprint: str
    service: str
    crashes: int
    expires_s: float


@attrs.frozen
class QuarantineList:
    """All quarantined requests known to the responding entry."""

    requests: tuple[QuarantineView, ...]


@attrs.frozen
class Done:
    """The response to a change that has no other result."""

    done: bool = True
