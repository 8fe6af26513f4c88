"""Imports modules without dependencies that a process doesn't use, or not yet."""

import importlib.util
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.machinery import ModuleSpec

# Modules that libraries import for functions of which an entry process uses none, or
# none before it serves. Each is loaded when one of its attributes is first used.
UNUSED_AT_START = (
    "asyncio.sslproto",
    "asyncio.staggered",
    "attr.converters",
    "attr.filters",
    "attr.validators",
    "attrs.converters",
    "attrs.filters",
    "attrs.validators",
    "fnmatch",
    "hashlib",
    "ipaddress",
    "locale",
    "structlog.stdlib",
    "structlog.threadlocal",
    "structlog.twisted",
    "structlog.types",
    "textwrap",
    "zmq.utils.jsonapi",
)

# Optional dependencies of structlog.dev, whose renderers a process without a terminal
# doesn't use.
CONSOLE_MODULES = ("better_exceptions", "rich")


@contextmanager
def light_imports() -> Iterator[None]:
    """Import inside the context only what a process needs at its start."""
    with hidden("ssl", *CONSOLE_MODULES), deferred(*UNUSED_AT_START):
        yield


@contextmanager
def hidden(*names: str) -> Iterator[None]:
    """Make imports of the named modules fail inside the context.

    asyncio works without ``ssl``, whose import takes as long as that of asyncio itself.
    Modules that are already loaded stay importable.
    """
    absent = [name for name in names if name not in sys.modules]
    sys.modules.update(dict.fromkeys(absent))
    try:
        yield
    finally:
        for name in absent:
            del sys.modules[name]


@contextmanager
def deferred(*names: str) -> Iterator[None]:
    """Load the named modules, if imported inside the context, at their first use.

    This saves processor time only for modules from which nothing is imported by name
    at the start.
    """
    finder = _DeferringFinder(frozenset(names))
    sys.meta_path.insert(0, finder)
    try:
        yield
    finally:
        sys.meta_path.remove(finder)


class _DeferringFinder:
    """Finds the named modules with a loader that executes them at their first use.

    It has no base class, since importlib.abc imports pathlib.
    """

    def __init__(self, names: frozenset[str]) -> None:
        self._names = names

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Return the spec of a named module, None for others."""
        if fullname not in self._names:
            return None
        spec = self._find_elsewhere(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = importlib.util.LazyLoader(spec.loader)
        return spec

    def _find_elsewhere(
        self, fullname: str, path: object, target: object
    ) -> ModuleSpec | None:
        """Return the spec that the first of the other finders returns."""
        for finder in sys.meta_path:
            if finder is self:
                continue
            spec = finder.find_spec(fullname, path, target)
            if spec is not None:
                return spec
        return None
