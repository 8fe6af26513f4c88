"""Methods of attrs classes that were compiled before the start.

attrs writes the source of the methods of each class and compiles it when the class is
created. That is two thirds of the time a class takes, and the same source each time.
"""

import builtins
import marshal
import re
import zlib
from types import CodeType, ModuleType

# Line of a ``__hash__`` method that holds the hash of a random number of this process.
_SALT = re.compile(r"^ {16}-?\d+,$", re.MULTILINE)


class MethodCache:
    """Stands for the built-in function ``compile`` in the module of attrs.

    Args:
        methods: Marshalled code by the keys that :meth:`key` returns.

    Attributes:
        methods: The same, with what had to be compiled.
        misses: Number of sources that weren't among them.
    """

    def __init__(self, methods: dict[tuple[str, int], bytes]) -> None:
        self.methods = methods
        self.misses = 0

    @staticmethod
    def key(source: str, filename: str) -> tuple[str, int]:
        """Return what identifies a source: its class and a checksum."""
        return filename, zlib.crc32(source.encode())

    def compile(self, source: str, filename: str, mode: str) -> CodeType:
        """Return the compiled source, as the built-in function does."""
        source = _with_fixed_salt(source, filename)
        key = self.key(source, filename)
        stored = self.methods.get(key)
        if stored is not None:
            return marshal.loads(stored)
        self.misses += 1
        code = builtins.compile(source, filename, mode)
        self.methods[key] = marshal.dumps(code)
        return code


def use_prepared_methods(
    attrs_module: ModuleType, methods: dict[tuple[str, int], bytes]
) -> MethodCache:
    """Let attrs use compiled methods for the classes that are created from now on.

    Args:
        attrs_module: The module ``attr._make``; one of another version that compiles
            in another way isn't affected.
        methods: Marshalled code; see ``MethodCache``.
    """
    cache = MethodCache(methods)
    attrs_module.compile = cache.compile
    return cache


def _with_fixed_salt(source: str, filename: str) -> str:
    """Replace the random number in a hash by one that depends on the class only."""
    if "def __hash__" not in source:
        return source
    salt = zlib.crc32(filename.encode())
    return _SALT.sub(f"                {salt},", source)
