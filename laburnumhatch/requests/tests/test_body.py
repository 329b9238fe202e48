"""Tests of streamed bodies against a completely collected body."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..body import MAX_STREAM_BUFFER_BYTES, BodyCut, StreamedBody


class _Upstream:
    """Fake consumer that also holds whether the caller's connection is paused."""

    def __init__(self):
        self.written = b""
        self.caller_paused = False

    def write(self, data):
        self.written += data

    def pause(self):
        self.caller_paused = True

    def resume(self):
        self.caller_paused = False


steps = st.lists(st.sampled_from(["chunk", "start", "pause", "resume"]), max_size=40)


@given(steps, st.integers(1, MAX_STREAM_BUFFER_BYTES))
def test_body_arrives_complete_and_in_order_within_the_buffer_limit(steps, size):
    upstream = _Upstream()
    body = StreamedBody(None, upstream.pause, upstream.resume)
    whole, done = b"", None
    for number, step in enumerate(steps):
        if step == "chunk" and not upstream.caller_paused:
            chunk = bytes([number]) * size
            whole += chunk
            body.add(chunk)
        elif step == "start" and done is None:
            done = body.startProducing(upstream)
        elif done is not None and step in ("pause", "resume"):
            getattr(body, f"{step}Producing")()
        assert body.buffered_bytes < MAX_STREAM_BUFFER_BYTES + size
        assert whole.startswith(upstream.written)
        assert len(whole) == len(upstream.written) + body.buffered_bytes
    if done is None:
        done = body.startProducing(upstream)
    body.resumeProducing()
    assert not done.called
    body.mark_complete()
    assert done.called and upstream.written == whole


@pytest.mark.parametrize("starts_first", [True, False])
def test_truncated_body_fails_its_request(starts_first):
    upstream = _Upstream()
    body = StreamedBody(None, upstream.pause, upstream.resume)
    done = body.startProducing(upstream) if starts_first else None
    body.add(b"half")
    body.mark_truncated()
    failed = []
    (done or body.startProducing(upstream)).addErrback(lambda f: failed.append(f.type))
    assert failed == [BodyCut]
