"""Runs of the fuzzing targets with generated inputs."""

from collections.abc import Sequence

import hypothesis
from hypothesis import strategies as st

from .targets import TARGETS

__all__ = ["fuzz_target"]

MAX_PARTS = 12
MAX_RANDOM_BYTES = 40
# Bytes that matter in one of the formats.
TOKENS = (
    b"\r\n",
    b"\r\n\r\n",
    b"0\r\n\r\n",
    b"ffffffffffffffff\r\n",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n\r\n",
    b"\x00",
    b"\xff" * 9,
    b"-1",
    b"1e400",
    b"null",
    b'{"a":',
    b"[" * 50,
)


def _inputs(examples: Sequence[bytes]) -> st.SearchStrategy[list[bytes]]:
    """Return a strategy for parts of an input: slices of valid ones, tokens and random bytes."""
    valid = st.sampled_from(list(examples))
    piece = st.builds(
        lambda whole, first, length: whole[first : first + length],
        valid,
        st.integers(0, max(map(len, examples))),
        st.integers(1, max(map(len, examples))),
    )
    random_bytes = st.binary(min_size=1, max_size=MAX_RANDOM_BYTES)
    # A transport delivers no empty parts.
    part = st.one_of(valid, piece, st.sampled_from(TOKENS), random_bytes).filter(bool)
    return st.lists(part, max_size=MAX_PARTS)


def fuzz_target(name: str, seed: int, example_count: int) -> None:
    """Call a target with generated inputs.

    Parameters
    ----------
    name : str
        Key of `TARGETS`.
    seed : int
        The same seed generates the same inputs.
    example_count : int

    Raises
    ------
    Exception
        The error of the target, with the smallest input found that causes it in its notes.
    """
    target, examples = TARGETS[name]

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=example_count, database=None, deadline=None, derandomize=False
    )
    @hypothesis.given(_inputs(examples))
    def run(parts: list[bytes]) -> None:
        target(parts)

    run()
