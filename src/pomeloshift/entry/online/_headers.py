"""Selects the headers of a caller's request that a plain service receives."""

from twisted.web.server import Request

# Hop-by-hop headers, and headers that are meant for the entry only.
NOT_FORWARDED = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "content-type",
        "cookie",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-pomeloshift-key",
    }
)


def header(req: Request, name: str) -> str:
    """Returns the value of a header, or an empty string."""
    return req.getHeader(name) or ""


def forwarded_headers(req: Request) -> dict[str, str]:
    """Returns the forwarded headers, with names in lower case."""
    forwarded = {}
    for raw_name, values in req.requestHeaders.getAllRawHeaders():
        name = raw_name.decode("latin-1").lower()
        if name not in NOT_FORWARDED:
            forwarded[name] = b", ".join(values).decode("latin-1")
    return forwarded
