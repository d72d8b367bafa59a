"""Tests that writing to the log neither blocks nor fails.

Guards against a full or closed log pipe that stops the event loop or ends the
process, and with it all requests.
"""

import os

import pytest

from chestnuthall.adapters.logs import LossyStream
from chestnuthall.adapters.logs._stream import N_PIPE_BYTES


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


def test_full_pipe_loses_lines_and_counts_them(pipe):
    """A blocking write would stop the event loop of the instance."""
    _, writer = pipe
    stream = LossyStream(writer)
    for _ in range(100):
        stream.write("x" * N_PIPE_BYTES)
    assert stream.pop_n_lost() > 0
    assert stream.pop_n_lost() == 0


def test_lines_are_written_again_once_the_pipe_is_read(pipe):
    reader, writer = pipe
    stream = LossyStream(writer)
    while not stream.n_lost:
        stream.write("x" * N_PIPE_BYTES)
    os.read(reader, 8 * N_PIPE_BYTES)
    stream.pop_n_lost()
    stream.write("line\n")
    assert stream.pop_n_lost() == 0


def test_closed_pipe_raises_no_error(pipe):
    reader, writer = pipe
    os.close(reader)
    stream = LossyStream(writer)
    stream.write("line\n")
    assert stream.pop_n_lost() == 1
