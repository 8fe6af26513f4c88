"""Injects faults into file operations, for tests of the stores."""

import errno
import os
from pathlib import Path

OPERATIONS = ("write", "fsync", "replace", "unlink")


class FileOperations:
    """Records operations that change files, and lets operation ``fail_at`` fail.

    A failed sync also discards the data written since the previous sync.
    """

    def __init__(self, monkeypatch, fail_at=None):
        self.calls = []
        self.failed = None
        self._fail_at = fail_at
        self._synced = {}
        for name in OPERATIONS:
            monkeypatch.setattr(os, name, self._wrap(name, getattr(os, name)))

    def _wrap(self, name, operation):
        def call(target, *args, **options):
            self.calls.append(name)
            if name == "write":
                size = os.fstat(target).st_size
                self._synced.setdefault(target, size)
            if len(self.calls) - 1 == self._fail_at:
                self._fail(name, target, args)
            if name == "fsync":
                self._synced.pop(target, None)
            return operation(target, *args, **options)

        return call

    def _fail(self, name, target, args):
        self.failed = name
        if name == "write":
            os.pwrite(target, bytes(args[0][: len(args[0]) // 2]), self._synced[target])
        if name == "fsync" and target in self._synced:
            os.ftruncate(target, self._synced[target])
        raise OSError(errno.EIO, "injected")


class PowerLost(BaseException):
    """The machine lost power; no code of the process runs after it."""


class VolatileDisk:
    """A folder whose changes are lost with the power unless they are synced.

    Names are durable once the folder is synced, bytes once their file is. With
    ``torn``, half of the bytes written since the last sync of a file survive.
    """

    def __init__(self, monkeypatch, folder, fail_at=None, *, torn=False):
        self.calls = 0
        self.folder = folder
        self._fail_at = fail_at
        self._torn = torn
        self._names = {}
        self._durable_names = {}
        self._durable_bytes = {}
        self._next_file = 0
        for name in ("open", "write", "fsync", "replace", "unlink", "truncate"):
            operation = getattr(os, name)
            wrapped = getattr(self, f"_{name}")
            monkeypatch.setattr(os, name, self._wrap(name, operation, wrapped))

    def lose_power(self):
        """Replace the folder by what is durable."""
        contents = {
            name: self._surviving(name, file)
            for name, file in self._durable_names.items()
        }
        for path in self.folder.iterdir():
            path.unlink()
        for name, content in contents.items():
            (self.folder / name).write_bytes(content)

    def _surviving(self, name, file):
        durable = self._durable_bytes.get(file, b"")
        path = self.folder / name
        if not self._torn or self._names.get(name) != file or not path.exists():
            return durable
        written = path.read_bytes()
        return written[: (len(durable) + len(written)) // 2]

    def _wrap(self, name, operation, wrapped):
        def call(*args, **options):
            if not self._is_ours(args[0]):
                return operation(*args, **options)
            if name != "open":
                if self.calls == self._fail_at:
                    raise PowerLost
                self.calls += 1
            return wrapped(operation, *args, **options)

        return call

    def _is_ours(self, target):
        return self._path(target).is_relative_to(self.folder)

    @staticmethod
    def _path(target):
        if isinstance(target, int):
            return Path(os.readlink(f"/proc/self/fd/{target}"))
        return Path(target)

    def _open(self, operation, path, *args, **options):
        descriptor = operation(path, *args, **options)
        path = Path(path)
        if path.is_file() and path.name not in self._names:
            self._names[path.name] = self._next_file
            self._next_file += 1
        return descriptor

    def _write(self, operation, descriptor, content):
        return operation(descriptor, content)

    def _truncate(self, operation, path, size):
        operation(path, size)

    def _fsync(self, operation, descriptor):
        operation(descriptor)
        path = self._path(descriptor)
        if path == self.folder:
            self._durable_names = dict(self._names)
        elif path.name in self._names:
            self._durable_bytes[self._names[path.name]] = path.read_bytes()

    def _replace(self, operation, source, target):
        operation(source, target)
        self._names[Path(target).name] = self._names.pop(Path(source).name)

    def _unlink(self, operation, path, *args, **options):
        operation(path, *args, **options)
        self._names.pop(Path(path).name, None)
