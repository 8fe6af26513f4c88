"""Imports modules without optional dependencies that a process doesn't use."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager


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
