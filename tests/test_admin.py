import json
import pathlib
import re

import attrs
import pytest

from _admin import INTERNAL_KEY, Harness, Loop, operators, questionnaire
from pomeloshift.admin import AUDIT_STREAM, ROUTES, AuditEntry
from pomeloshift.config import Configuration
from pomeloshift.entry._auth import UnauthenticatedError
from pomeloshift.log import RecordCodec
from pomeloshift.net import SystemClock
from pomeloshift.questionnaire import Role
from pomeloshift.standins.log import LogFaults


@pytest.fixture
def empty(reactor, run_async):
    loop = Loop(reactor, run_async)
    harness = Harness(loop)
    yield harness
    loop.run(harness.listener.stop)


@pytest.fixture
def admin(empty):
    empty.publish(0, token=INTERNAL_KEY)
    return empty


def test_first_configuration_is_published_with_the_internal_key(empty):
    assert empty.error("GET", "/status")["code"] == "unauthenticated"
    assert empty.ok("GET", "/status", token=INTERNAL_KEY)["version"] == 0
    assert empty.publish(0, token=INTERNAL_KEY) == 1
    assert empty.ok("GET", "/status", token=INTERNAL_KEY)["version"] == 1
    for method, path in (("POST", "/configuration"), ("POST", "/keys")):
        error = empty.error(method, path, {}, token=INTERNAL_KEY)
        assert error["code"] == "forbidden"


def test_versions_history_and_conflict(admin):
    text = questionnaire(results_kept_days=3.0)
    assert admin.publish(1, text, role="operator") == 2
    error = admin.error(
        "POST", "/configuration", {"base_version": 1, "questionnaire": text}
    )
    assert error["code"] == "config_conflict"
    assert error["current_version"] == 2
    assert error["ran"] == "no"
    versions = admin.ok("GET", "/configuration/versions")["versions"]
    assert [(v["version"], v["author"], v["in_force"]) for v in versions] == [
        (2, "operator", True),
        (1, "internal", False),
    ]
    old = admin.ok("GET", "/configuration/versions/1")
    assert old["result_retention_s"] == 7 * 86400
    assert admin.ok("GET", "/configuration")["result_retention_s"] == 3 * 86400
    assert admin.error("GET", "/configuration/versions/9")["code"] == "not_found"


def test_all_faults_of_a_questionnaire_are_returned_together(admin):
    text = questionnaire().replace('"kind": "plain"', '"kind": 1')
    text = text.replace('"results_kept_days": 7', '"results_kept_days": -1')
    error = admin.error(
        "POST", "/configuration", {"base_version": 1, "questionnaire": text}
    )
    assert error["code"] == "invalid_answers"
    assert {fault["path"] for fault in error["faults"]} == {
        "services[1].kind",
        "results_kept_days",
    }


def test_salts_and_digests_are_not_shown(admin):
    for path in ("/configuration", "/configuration/versions/1", "/keys"):
        assert b"salt-1234" not in admin.call("GET", path)[1]


def test_issued_key_works_and_revoked_key_does_not(admin):
    issued = admin.ok("POST", "/keys", {"workspace": "order-desk"})
    bearer = f"Bearer {issued['token']}"
    assert admin.auth.workspace_for(bearer) == "order-desk"
    assert issued["token"].encode() not in admin.config.document().document
    admin.ok("DELETE", f"/keys/{issued['key_id']}")
    with pytest.raises(UnauthenticatedError):
        admin.auth.workspace_for(bearer)
    assert admin.error("DELETE", f"/keys/{issued['key_id']}")["code"] == "not_found"


def test_rotated_key_is_replaced(admin):
    issued = admin.ok("POST", "/keys", {"operator": "eva", "role": "operator"})
    rotated = admin.ok("POST", f"/keys/{issued['key_id']}/rotate")
    with pytest.raises(UnauthenticatedError):
        admin.auth.operator_for(f"Bearer {issued['token']}")
    key = admin.auth.operator_for(f"Bearer {rotated['token']}")
    assert (key.operator, key.role, key.issued_by) == ("eva", "operator", "admin")


def test_key_changes_persist_across_a_publication(admin):
    issued = admin.ok("POST", "/keys", {"workspace": "order-desk"})
    version = admin.ok("DELETE", "/keys/stations-1")["version"]
    admin.publish(version, questionnaire(results_kept_days=3.0), role="operator")
    ids = [key["key_id"] for key in admin.ok("GET", "/keys")["keys"]]
    assert issued["key_id"] in ids
    assert "stations-1" not in ids


def test_key_change_is_retried_after_version_conflicts(admin):
    publish = admin.config.publish
    rival_versions = []

    async def publish_after_rival(cfg, base, author, note=""):
        if not rival_versions:
            rival_versions.append(await publish(Configuration("x"), base, "rival"))
            rival_versions.append(await publish(cfg, rival_versions[0], "rival"))
        return await publish(cfg, base, author, note)

    admin.config.publish = publish_after_rival
    issued = admin.ok("POST", "/keys", {"workspace": "order-desk"})
    assert issued["version"] == rival_versions[-1] + 1


def test_roles_are_enforced(admin):
    for route in ROUTES:
        if route.role is None or route.role.value == "viewer":
            continue
        path = re.sub(r"\{\w+\}", "x", route.path)
        error = admin.error(route.method, path, {}, role="viewer")
        assert error["code"] == "forbidden", route
    body = {"workspace": "order-desk"}
    assert admin.error("POST", "/keys", body, role="operator")["code"] == "forbidden"


def test_operator_cannot_make_itself_admin_by_publishing(admin):
    promoted = tuple(attrs.evolve(o, role=Role.ADMIN) for o in operators())
    body = {"base_version": 1, "questionnaire": questionnaire(operators=promoted)}
    error = admin.error("POST", "/configuration", body, role="operator")
    assert error["code"] == "forbidden"
    assert admin.config.version == 1


def test_status_names_the_instances_without_the_version(admin):
    admin.fleet.versions = {"e1": 1, "b1": 0, "b2": 1}
    status = admin.ok("GET", "/status", role="viewer")
    assert status["version"] == 1
    assert status["lacking"] == ["b1"]


def test_instances_jobs_and_quarantine(admin):
    assert len(admin.ok("GET", "/instances", role="viewer")["instances"]) == 2
    drained = admin.ok("POST", "/instances/b1/drain", role="operator")
    assert drained == {"name": "b1", "state": "draining"}
    assert admin.error("POST", "/instances/b9/drain")["code"] == "not_found"
    assert len(admin.ok("GET", "/jobs", role="viewer")["jobs"]) == 1
    assert admin.ok("GET", "/jobs?workspace=other&limit=5")["jobs"] == []
    assert admin.ok("POST", "/jobs/j1/cancel")["state"] == "cancelled"
    assert admin.ok("GET", "/jobs/j1")["state"] == "cancelled"
    assert len(admin.ok("GET", "/quarantine")["requests"]) == 1
    admin.ok("DELETE", "/quarantine/f1")
    assert admin.error("DELETE", "/quarantine/f1")["code"] == "not_found"


def test_deployment_and_workspaces(admin):
    deployment = admin.ok("GET", "/deployment", role="viewer")
    assert deployment["services"] == ["vezi-lm", "schedule-desk"]
    workspaces = admin.ok("GET", "/workspaces", role="viewer")["workspaces"]
    assert workspaces[0]["keys"] == ["stations-1"]


@pytest.mark.parametrize(
    ("method", "path", "raw"),
    [
        ("POST", "/configuration", b"{"),
        ("POST", "/configuration", b'{"base_version": "1", "questionnaire": ""}'),
        ("POST", "/keys", b"{}"),
        ("POST", "/keys", b'{"workspace": "a", "operator": "b"}'),
        ("POST", "/keys", b'{"operator": "b", "role": "king"}'),
        ("GET", "/jobs?limit=0", b""),
        ("GET", "/jobs?limit=x", b""),
        ("PUT", "/keys", b""),
    ],
)
def test_invalid_requests_have_an_error_code(admin, method, path, raw):
    error = admin.error(method, path, raw=raw)
    assert error["code"] == "invalid_request"


def test_unknown_path_and_invalid_token_have_an_error_code(admin):
    assert admin.error("GET", "/nothing")["code"] == "not_found"
    assert admin.error("GET", "/status", token="x.y")["code"] == "unauthenticated"


def test_publication_without_the_log_reports_that_it_did_not_run(admin):
    admin.model.faults = LogFaults(is_down=True)
    body = {"base_version": 1, "questionnaire": questionnaire()}
    error = admin.error("POST", "/configuration", body)
    assert (error["code"], error["ran"]) == ("log_unavailable", "no")


def test_every_change_is_audited(admin):
    admin.ok("POST", "/instances/b1/drain", role="operator")
    admin.error("POST", "/instances/b9/drain", role="operator")
    admin.model.faults = LogFaults(is_down=True)
    admin.ok("DELETE", "/quarantine/f1", role="operator")
    admin.model.faults = LogFaults()
    admin.loop.run(admin.audit.flush)
    page = admin.model.read(AUDIT_STREAM, 0, 100, SystemClock().monotonic())
    codec = RecordCodec([AuditEntry])
    entries = [codec.decode(stored.data).body for stored in page.records]
    assert [(e.operator, e.action, e.target, e.outcome) for e in entries] == [
        ("internal", "publish", "base:0", "ok"),
        ("operator", "drain", "b1", "ok"),
        ("operator", "drain", "b9", "not_found"),
        ("operator", "release_quarantined", "f1", "ok"),
    ]


def test_audit_entries_reach_the_log_when_the_entry_stops(admin):
    admin.ok("POST", "/keys", {"workspace": "order-desk"})
    admin.ok("POST", "/keys", {"operator": "eva", "role": "viewer"})
    admin.loop.run(admin.audit.close)
    page = admin.model.read(AUDIT_STREAM, 0, 100, SystemClock().monotonic())
    codec = RecordCodec([AuditEntry])
    targets = [codec.decode(stored.data).body.target for stored in page.records]
    assert targets == ["base:0", "workspace:order-desk", "operator:eva:viewer"]


def test_audit_entries_that_close_cannot_append_stay_pending(admin):
    admin.model.faults = LogFaults(is_down=True)
    admin.loop.run(admin.audit.close)
    admin.model.faults = LogFaults()
    admin.loop.run(admin.audit.flush)
    page = admin.model.read(AUDIT_STREAM, 0, 100, SystemClock().monotonic())
    assert len(page.records) == 1


def test_openapi_document_is_served_and_describes_every_route(admin, snapshot):
    document = admin.ok("GET", "/openapi.json", token="none")
    described = {
        (method.upper(), path)
        for path, operations in document["paths"].items()
        for method in operations
    }
    assert described == {(route.method, route.full_path) for route in ROUTES}
    references = set(re.findall(r'"#/components/schemas/(\w+)"', json.dumps(document)))
    assert references <= set(document["components"]["schemas"])
    summary = {
        operation["operationId"]: sorted(operation["responses"])
        for operations in document["paths"].values()
        for operation in operations.values()
    }
    assert summary == snapshot


def test_documentation_lists_every_route():
    page = pathlib.Path(__file__).parent.parent / "docs/operations/administration.md"
    listed = re.findall(
        r"^\| `(\w+) (\S+)` \| (\w+) \| (.*) \|$", page.read_text(), re.M
    )
    assert listed == [
        (r.method, r.full_path, r.role.value if r.role else "none", r.summary)
        for r in ROUTES
    ]
