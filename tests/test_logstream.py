"""Guards against a process that blocks on the reader of its log lines."""

import os

import pytest

from arbutuslift.logstream import MAX_BUFFERED_BYTES, NonBlockingStream


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def write(stream, line):
    stream.write(line)
    stream.flush()


def test_lines_arrive_in_order(pipe):
    reader, writer = pipe
    stream = NonBlockingStream(writer)
    write(stream, "one\n")
    write(stream, "two\n")
    assert os.read(reader, 100) == b"one\ntwo\n"


def test_a_blocked_reader_causes_lost_lines_but_no_wait(pipe):
    reader, writer = pipe
    stream = NonBlockingStream(writer)
    line = "x" * 999 + "\n"
    count = 0
    while stream.lost_lines == 0:
        write(stream, line)
        count += 1
        assert count * len(line) < 1024 * 1024 + MAX_BUFFERED_BYTES
    content = b""
    while True:
        content += os.read(reader, 1024 * 1024)
        stream.flush()
        if len(content) == (count - 1) * len(line):
            break
    assert content == line.encode() * (count - 1)


def test_a_closed_reader_causes_lost_lines_only():
    reader, writer = os.pipe()
    os.close(reader)
    stream = NonBlockingStream(writer)
    write(stream, "lost\n")
    assert stream.lost_lines == 1
    os.close(writer)
