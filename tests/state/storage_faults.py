"""Injects faults into file operations, for tests of the stores."""

import errno
import os

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
