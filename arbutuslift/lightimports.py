"""Loads modules without parts of them that a process doesn't use."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def hidden(*names: str) -> Iterator[None]:
    """Let imports of some modules fail while others are loaded that can do without.

    asyncio works without ``ssl``, which takes as long to load as asyncio itself. What
    is loaded already stays.
    """
    absent = [name for name in names if name not in sys.modules]
    sys.modules.update(dict.fromkeys(absent))
    try:
        yield
    finally:
        for name in absent:
            del sys.modules[name]
