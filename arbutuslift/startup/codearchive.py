"""Compiled modules of a process in one file, so that a start finds them at once.

A search along the module path takes about twelve system calls for each module, and a
process imports some 300 of them. The archive is written by ``archivewriter`` when the
program is installed. It holds nothing that isn't derived from the sources, and a
process without it, or with one of another interpreter, imports the usual way.

This module is imported before the archive can be used, so it imports nothing that the
interpreter hasn't loaded by itself.
"""

import marshal
import os
import sys
from collections.abc import Mapping
from importlib.machinery import ExtensionFileLoader, ModuleSpec
from importlib.util import MAGIC_NUMBER, spec_from_file_location
from types import CodeType, ModuleType

MAGIC = b"arbutuslift code 1\n"
# Kinds of entries.
MODULE = 0
PACKAGE = 1
EXTENSION = 2
_LENGTH_BYTES = 8

# An entry: its kind, the name of its root and the path below it, and its code, which
# is empty for an extension module.
Entry = tuple[int, str, str, bytes]


class ArchiveError(ValueError):
    """An archive that can't be used; imports then work as without one."""


class CodeArchive:
    """Finds and loads the modules of an archive; an entry of ``sys.meta_path``.

    Args:
        path: Path of the archive.
        roots: Folders of the modules by the names under which the archive lists them.

    Attributes:
        methods: Compiled methods of attrs classes; see ``attrsmethods``.

    Raises:
        ArchiveError: The file is missing, cut off, or was written by another
            version of the interpreter.
    """

    def __init__(self, path: str, roots: Mapping[str, str]) -> None:
        self._roots = roots
        try:
            self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError as error:
            raise ArchiveError(str(error)) from error
        try:
            index, self._start = self._read_index()
            self._modules: dict[str, tuple[int, str, str, int, int]] = index["modules"]
            self.methods: dict[tuple[str, int], bytes] = index["methods"]
        except (OSError, EOFError, ValueError, TypeError, KeyError) as error:
            os.close(self._descriptor)
            raise ArchiveError(f"{path}: {error!r}") from error

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Return the spec of a module in the archive, None for others."""
        del path, target
        entry = self._modules.get(fullname)
        if entry is None:
            return None
        kind, root, relative, _, _ = entry
        file = f"{self._roots[root]}/{relative}"
        if kind == EXTENSION:
            loader = ExtensionFileLoader(fullname, file)
            return spec_from_file_location(fullname, file, loader=loader)
        code = self._load_code(fullname)
        if code is None:
            return None
        spec = ModuleSpec(fullname, _Loader(code), origin=file)
        spec.has_location = True
        if kind == PACKAGE:
            # Modules of the package that aren't in the archive are searched there.
            spec.submodule_search_locations = [file.rpartition("/")[0]]
        return spec

    def close(self) -> None:
        """Stop finding modules and close the file."""
        if self in sys.meta_path:
            sys.meta_path.remove(self)
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _read_index(self) -> tuple[dict[str, dict], int]:
        header_bytes = len(MAGIC) + len(MAGIC_NUMBER) + _LENGTH_BYTES
        header = os.pread(self._descriptor, header_bytes, 0)
        if header[:-_LENGTH_BYTES] != MAGIC + MAGIC_NUMBER:
            raise ValueError("not an archive of this interpreter")
        length = int.from_bytes(header[-_LENGTH_BYTES:], "big")
        content = os.pread(self._descriptor, length, header_bytes)
        return marshal.loads(content), header_bytes + length

    def _load_code(self, fullname: str) -> CodeType | None:
        """Return the code of a module, None if the file is damaged there."""
        _, _, _, offset, length = self._modules[fullname]
        try:
            content = os.pread(self._descriptor, length, self._start + offset)
            code = marshal.loads(content)
        except (OSError, EOFError, ValueError, TypeError):
            return None
        return code if isinstance(code, CodeType) else None


class _Loader:
    """Executes the code of one module, once, and frees it."""

    def __init__(self, code: CodeType) -> None:
        self._code: CodeType | None = code

    def create_module(self, spec: ModuleSpec) -> None:
        """Return None, so that the import system creates the module."""
        del spec

    def exec_module(self, module: ModuleType) -> None:
        """Execute the module in its namespace."""
        code, self._code = self._code, None
        exec(code, module.__dict__)


def encode_archive(
    modules: Mapping[str, Entry], methods: Mapping[tuple[str, int], bytes]
) -> bytes:
    """Return the content of an archive.

    Args:
        modules: Entries with marshalled code, by the names of the modules.
        methods: Marshalled code of methods of attrs classes.
    """
    located = {}
    offset = 0
    for name, (kind, root, relative, code) in modules.items():
        located[name] = (kind, root, relative, offset, len(code))
        offset += len(code)
    index = marshal.dumps({"modules": located, "methods": dict(methods)})
    header = MAGIC + MAGIC_NUMBER + len(index).to_bytes(_LENGTH_BYTES, "big")
    return b"".join((header, index, *(code for *_, code in modules.values())))
