"""Checks the file from which the platform builds and deploys the programs."""

from collections.abc import Mapping
from typing import Any

from ..settings import Fault, FaultCode, SettingsError
from ._address import is_port
from ._toml import parse_toml

CLASSES = ("edge", "side")
# External callers that a role can serve.
CALLERS = (*CLASSES, "control_plane")
MAX_ROLES_PER_CLASS = 2


def check_deploy_file(text: str, path: str = "") -> None:
    """Raises `SettingsError` with every fault of a deploy file.

    Unknown keys are ignored, as the platform ignores them.
    """
    faults = _faults_of(parse_toml(text, path))
    if faults:
        raise SettingsError(faults, path)


def _faults_of(data: Mapping[str, Any]) -> list[Fault]:
    faults = []
    if not isinstance(data.get("build", ""), str):
        faults.append(Fault("build", FaultCode.WRONG_TYPE, "is not a command"))
    roles = data.get("roles")
    if not isinstance(roles, Mapping) or not roles:
        return [*faults, Fault("roles", FaultCode.MISSING_KEY, "names no role")]
    for name, role in roles.items():
        if isinstance(role, Mapping):
            faults += _faults_of_role(f"roles.{name}", role)
        else:
            faults.append(Fault(f"roles.{name}", FaultCode.WRONG_TYPE, "is no role"))
    return faults + _shared_callers(roles)


def _faults_of_role(path: str, role: Mapping[str, Any]) -> list[Fault]:
    faults = []
    run = role.get("run")
    if not isinstance(run, str) or not run.strip():
        faults.append(Fault(f"{path}.run", FaultCode.MISSING_KEY, "names no program"))
    if role.get("on") not in CLASSES:
        message = f"{role.get('on')!r} is not one of {', '.join(CLASSES)}"
        faults.append(Fault(f"{path}.on", FaultCode.OUT_OF_RANGE, message))
    share = role.get("share", 1.0)
    if not _is_number(share) or not 0 < share <= 1:
        message = f"{share!r} is not above 0 and at most 1"
        faults.append(Fault(f"{path}.share", FaultCode.OUT_OF_RANGE, message))
    serves = role.get("serves", [])
    if not isinstance(serves, list) or any(one not in CALLERS for one in serves):
        message = f"is not a list of {', '.join(CALLERS)}"
        faults.append(Fault(f"{path}.serves", FaultCode.OUT_OF_RANGE, message))
    metrics = role.get("metrics", "1/")
    port = metrics.partition("/")[0] if isinstance(metrics, str) else ""
    if not is_port(port):
        message = f"{metrics!r} is not PORT/PATH"
        faults.append(Fault(f"{path}.metrics", FaultCode.OUT_OF_RANGE, message))
    return faults


def _shared_callers(roles: Mapping[str, Any]) -> list[Fault]:
    """Finds callers with two roles in a class, and classes with too many roles."""
    faults = []
    seen: dict[tuple[str, str], str] = {}
    counts = dict.fromkeys(CLASSES, 0)
    for name, role in roles.items():
        if not isinstance(role, Mapping) or role.get("on") not in CLASSES:
            continue
        counts[role["on"]] += 1
        serves = role.get("serves", [])
        for caller in serves if isinstance(serves, list) else []:
            other = seen.setdefault((role["on"], str(caller)), name)
            if other != name:
                message = f"{caller} is served by the role {other} there too"
                path = f"roles.{name}.serves"
                faults.append(Fault(path, FaultCode.DUPLICATE, message))
    for on, count in counts.items():
        if count > MAX_ROLES_PER_CLASS:
            message = f"puts {count} roles on {on}, more than {MAX_ROLES_PER_CLASS}"
            faults.append(Fault("roles", FaultCode.INCONSISTENT, message))
    return faults


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
