"""Describes the administration API as an OpenAPI document."""

import re
from collections.abc import Iterable
from typing import Any

import msgspec

from .. import __version__
from ..errors import ErrorCode
from ..errors._error import HTTP_STATUS_BY_CODE
from ._route import Route

OPENAPI_VERSION = "3.1.0"
SCHEMA_REF = "#/components/schemas/{name}"
AUTH_ERRORS = (ErrorCode.UNAUTHENTICATED, ErrorCode.FORBIDDEN)

ERROR_SCHEMA = {
    "type": "object",
    "required": ["error"],
    "properties": {
        "error": {
            "type": "object",
            "required": ["code", "message", "ran"],
            "properties": {
                "code": {"enum": [code.value for code in ErrorCode]},
                "type": {"type": "string"},
                "message": {"type": "string"},
                "ran": {"enum": ["no", "yes", "unknown"]},
                "retry_after_s": {"type": "number"},
                "current_version": {"type": "integer"},
                "faults": {"type": "array", "items": {"type": "object"}},
            },
        }
    },
}


def describe(routes: Iterable[Route]) -> dict[str, Any]:
    """Returns the OpenAPI document of the given routes."""
    routes = list(routes)
    types = sorted(
        {t for route in routes for t in (route.response, route.request) if t} - {dict},
        key=lambda t: t.__name__,
    )
    schemas, components = msgspec.json.schema_components(types, ref_template=SCHEMA_REF)
    refs = dict(zip(types, schemas, strict=True))
    refs[dict] = {"type": "object"}
    paths: dict[str, Any] = {}
    for route in routes:
        operation = _operation(route, refs)
        paths.setdefault(route.full_path, {})[route.method.lower()] = operation
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "pomeloshift administration", "version": __version__},
        "paths": paths,
        "components": {
            "schemas": {**components, "Error": ERROR_SCHEMA},
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def _operation(route: Route, refs: dict[type, Any]) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "operationId": route.name,
        "summary": route.summary,
        "parameters": _parameters(route),
        "responses": {
            str(route.status): _content("The response.", refs[route.response]),
            **_error_responses(route),
        },
    }
    if route.role is not None:
        operation["security"] = [{"token": []}]
        operation["x-role"] = route.role.value
    if route.request is not None:
        body = _content("", refs[route.request])["content"]
        operation["requestBody"] = {"required": True, "content": body}
    return operation


def _parameters(route: Route) -> list[dict[str, Any]]:
    names = re.findall(r"\{(\w+)\}", route.path)
    parameters = [(name, "path", True) for name in names]
    parameters += [(name, "query", False) for name in route.query]
    return [
        {
            "name": name,
            "in": location,
            "required": required,
            "schema": {"type": "integer" if name in _INTEGER_PARAMETERS else "string"},
        }
        for name, location, required in parameters
    ]


def _error_responses(route: Route) -> dict[str, Any]:
    codes = route.errors if route.role is None else (*AUTH_ERRORS, *route.errors)
    by_status: dict[int, list[str]] = {}
    for code in codes:
        by_status.setdefault(HTTP_STATUS_BY_CODE[code], []).append(code.value)
    schema = {"$ref": SCHEMA_REF.format(name="Error")}
    return {
        str(status): _content(f"Codes: {', '.join(names)}.", schema)
        for status, names in sorted(by_status.items())
    }


def _content(description: str, schema: Any) -> dict[str, Any]:
    return {
        "description": description,
        "content": {"application/json": {"schema": schema}},
    }


_INTEGER_PARAMETERS = {"version", "limit"}
