"""Routes requests to resources by path prefix."""

from collections.abc import Mapping
from typing import Any

from twisted.web.resource import IResource, Resource
from zope.interface import implementer


@implementer(IResource)
class PrefixRoot(Resource):
    """Serves several resources, each below one or more path prefixes.

    The longest matching prefix wins. The resource sees the complete path.
    """

    def __init__(self, resources: Mapping[str, IResource], default: IResource) -> None:
        super().__init__()
        self._resources = sorted(
            resources.items(), key=lambda pair: len(pair[0]), reverse=True
        )
        self._default = default

    def getChild(self, path: bytes, request: Any) -> Any:  # noqa: N802
        """Returns the resource for a request and restores the request's full path."""
        # Twisted has moved the first segment from postpath to prepath.
        request.postpath.insert(0, request.prepath.pop())
        request.prepath.clear()
        return self._choose(request.path.decode("utf-8", "replace"))

    def _choose(self, path: str) -> IResource:
        for prefix, resource in self._resources:
            if path == prefix or path.startswith(prefix + "/"):
                return resource
        return self._default
