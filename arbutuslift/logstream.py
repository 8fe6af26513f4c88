"""Output for log lines that never blocks and drops whole lines instead."""

import os

# About a second of lines at the highest rate that the rate limiter allows.
MAX_BUFFERED_BYTES = 64 * 1024


class NonBlockingStream:
    """Writes lines to a file descriptor without waiting for its reader.

    Args:
        descriptor: File descriptor open for writing; it is made non-blocking.

    Attributes:
        lost_lines: Number of lines dropped because the output was full or closed.
    """

    def __init__(self, descriptor: int) -> None:
        self.lost_lines = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        data = text.encode()
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.lost_lines += 1
        else:
            self._buffer += data
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the output accepts now."""
        try:
            while self._buffer:
                del self._buffer[: os.write(self._descriptor, self._buffer)]
        except BlockingIOError:
            # The rest of the buffer is written with the next line.
            return
        except OSError:
            # The reader has closed its end, so the buffered lines can't be delivered.
            self.lost_lines += self._buffer.count(b"\n")
            self._buffer.clear()
