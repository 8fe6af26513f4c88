"""Output for log lines that never blocks and loses whole lines instead."""

import os

# About a second of lines at the highest rate that the limiter lets pass.
MAX_WAITING_BYTES = 64 * 1024


class NonBlockingStream:
    """Writes lines to a file descriptor without waiting for its reader.

    Args:
        descriptor: Open for writing; it is set to not block.

    Attributes:
        lost_lines: Lines that were dropped because the output was full.
    """

    def __init__(self, descriptor: int) -> None:
        self.lost_lines = 0
        self._descriptor = descriptor
        self._waiting = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take a line, or drop it if too many bytes wait."""
        data = text.encode()
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self.lost_lines += 1
        else:
            self._waiting += data
        return len(text)

    def flush(self) -> None:
        """Write as much as the output takes now."""
        try:
            while self._waiting:
                del self._waiting[: os.write(self._descriptor, self._waiting)]
        except BlockingIOError:
            # The rest follows with the next line.
            return
        except OSError:
            # The reader is gone: what waits can't be delivered.
            self.lost_lines += self._waiting.count(b"\n")
            self._waiting.clear()
