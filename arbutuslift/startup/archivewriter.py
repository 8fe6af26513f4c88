"""Writes the archive of compiled modules when the program is installed."""

import marshal
import os
import sys
from collections.abc import Iterator, Mapping
from importlib.machinery import EXTENSION_SUFFIXES, SourceFileLoader
from pathlib import Path
from types import ModuleType

from .attrsmethods import MethodCache
from .codearchive import EXTENSION, MODULE, PACKAGE, Entry, encode_archive

SOURCE_SUFFIX = ".py"


def write_archive(path: Path, roots: Mapping[str, str], cache: MethodCache) -> int:
    """Write an archive of all loaded modules; return their number.

    Args:
        path: Path of the archive, replaced atomically.
        roots: Folders of the modules, the more specific ones first.
        cache: Compiled methods of the attrs classes of the loaded modules.

    Raises:
        OSError: The file can't be written.
    """
    modules = dict(_loaded_modules(roots))
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(path.name + ".tmp")
    temporary.write_bytes(encode_archive(modules, cache.methods))
    os.replace(temporary, path)
    return len(modules)


def _loaded_modules(roots: Mapping[str, str]) -> Iterator[tuple[str, Entry]]:
    for name, module in list(sys.modules.items()):
        file = _file_of(module)
        root = _root_of(file, roots)
        if root is None or name == "__main__":
            continue
        relative = file.removeprefix(roots[root] + "/")
        if file.endswith(SOURCE_SUFFIX):
            kind = PACKAGE if relative.endswith("__init__.py") else MODULE
            code = SourceFileLoader(name, file).get_code(name)
            yield name, (kind, root, relative, marshal.dumps(code))
        elif file.endswith(tuple(EXTENSION_SUFFIXES)):
            yield name, (EXTENSION, root, relative, b"")


def _file_of(module: ModuleType | None) -> str:
    """Return the file of a module, "" for none; a deferred one isn't loaded by this."""
    if module is None:
        return ""
    spec = object.__getattribute__(module, "__dict__").get("__spec__")
    has_file = spec is not None and spec.has_location
    return os.path.realpath(spec.origin) if has_file else ""


def _root_of(file: str, roots: Mapping[str, str]) -> str | None:
    for root, folder in roots.items():
        if file.startswith(folder + "/"):
            return root
    return None
