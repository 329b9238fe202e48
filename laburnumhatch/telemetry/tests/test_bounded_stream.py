"""Tests that a slow or missing reader never blocks the writer of a stream."""

import os

import pytest

from ..bounded_stream import MAX_BUFFERED_BYTES, BoundedStream


@pytest.fixture
def pipe():
    """Return the read end and the write end of a pipe."""
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


def test_written_text_reaches_the_reader(pipe):
    reader, writer = pipe
    stream = BoundedStream(writer)
    stream.write("one\n")
    stream.flush()
    assert os.read(reader, 100) == b"one\n"


def test_writes_beyond_the_buffer_are_dropped_and_counted(pipe):
    _, writer = pipe
    stream = BoundedStream(writer)
    line = "x" * 1000 + "\n"
    for _ in range(2000):
        stream.write(line)
        stream.flush()
    kept_count = 2000 - stream.dropped_count
    assert stream.dropped_count > 0
    # The pipe buffers up to 64 KiB in addition to the stream's own buffer.
    assert kept_count * len(line) <= MAX_BUFFERED_BYTES + 65_536 + len(line)


def test_buffered_text_is_written_when_the_reader_reads_again(pipe):
    reader, writer = pipe
    stream = BoundedStream(writer)
    for number in range(200):
        stream.write(f"{number:04d}" + "x" * 996)
        stream.flush()
    read = b""
    while len(read) < 200_000:
        read += os.read(reader, 65_536)
        stream.flush()
    assert read.startswith(b"0000") and b"0199" in read


def test_a_closed_reader_drops_the_text_without_an_error(pipe):
    reader, writer = pipe
    os.close(reader)
    stream = BoundedStream(writer)
    stream.write("lost")
    stream.flush()
    assert stream.dropped_count == 1
