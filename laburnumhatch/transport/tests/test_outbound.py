"""Tests of client connections.

A response is delivered only if it is complete and belongs to the request; any other end of the
connection is reported as a failure.
"""

import socket

from ..outbound import FailureKind

ANSWER = b"HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: 5\r\n\r\n%s"


def test_connection_is_reused_after_complete_response(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(ANSWER % (b"a1", b"hello"))
    assert receiver.is_complete and receiver.body == b"hello"
    assert upstream.idle == [upstream.connection]
    second_receiver = upstream.send_request(b"a2")
    upstream.send_bytes(ANSWER % (b"a2", b"again"))
    assert second_receiver.body == b"again"


def test_mismatched_response_is_skipped_and_matching_one_delivered(upstream):
    receiver = upstream.send_request(b"a2")
    upstream.send_bytes(ANSWER % (b"a1", b"stale") + ANSWER % (b"a2", b"fresh"))
    assert receiver.is_complete and receiver.body == b"fresh"


def test_extra_bytes_after_response_abort_the_connection(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(ANSWER % (b"a1", b"hello") + b"HTTP/1.1 200")
    assert receiver.is_complete
    assert upstream.idle == [] and upstream.transport.is_aborted


def test_bytes_on_idle_connection_abort_it(upstream):
    upstream.send_request()
    upstream.send_bytes(ANSWER % (b"a1", b"hello"))
    upstream.send_bytes(b"HTTP/1.1 200 OK\r\n")
    assert upstream.transport.is_aborted


def test_truncated_response_fails_as_lost(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(ANSWER % (b"a1", b"hel"))
    upstream.close()
    assert not receiver.is_complete
    assert receiver.failure.kind is FailureKind.LOST and not receiver.failure.was_not_sent


def test_response_without_length_is_completed_by_close(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(b"HTTP/1.1 200 OK\r\nid: a1\r\n\r\nall of it")
    upstream.close()
    assert receiver.is_complete and receiver.body == b"all of it"


def test_response_without_length_fails_on_reset(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(b"HTTP/1.1 200 OK\r\nid: a1\r\n\r\nsome of it")
    upstream.reset()
    assert not receiver.is_complete and receiver.failure.kind is FailureKind.LOST


def test_invalid_http_fails_as_garbled(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(b"\x00\x01 nonsense\r\n\r\n")
    assert receiver.failure.kind is FailureKind.GARBLED
    assert upstream.transport.is_aborted


def test_close_before_response_does_not_claim_request_unsent(upstream):
    receiver = upstream.send_request()
    upstream.close()
    assert receiver.failure is not None and not receiver.failure.was_not_sent


def test_connection_close_header_prevents_reuse(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(
        b"HTTP/1.1 200 OK\r\nid: a1\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"
    )
    assert receiver.is_complete and upstream.idle == []


def test_request_body_is_sent_with_content_length(upstream):
    upstream.send_request(method=b"POST", body=b"order")
    sent = upstream.transport.value()
    assert b"content-length: 5" in sent.lower() and sent.endswith(b"\r\n\r\norder")


def test_response_before_request_body_is_read_is_delivered(upstream):
    receiver = upstream.send_request(method=b"POST", body=b"x" * 100_000)
    upstream.send_bytes(b"HTTP/1.1 503 No\r\nid: a1\r\ncontent-length: 0\r\n\r\n")
    assert receiver.is_complete and receiver.status == 503


def test_tcp_keep_alive_and_user_timeout_are_set(upstream):
    assert upstream.transport.socket.options[socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT] > 0
    assert upstream.transport.socket.options[socket.SOL_SOCKET, socket.SO_KEEPALIVE] == 1


def test_receiver_is_not_called_after_abort(upstream):
    receiver = upstream.send_request()
    upstream.connection.abort()
    upstream.reset()
    assert receiver.failure is None and not receiver.is_complete
