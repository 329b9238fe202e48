"""An answer is whole and its own, or it is none."""

import socket

from ..outbound import FailureKind

ANSWER = b"HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: 5\r\n\r\n%s"


def test_a_whole_answer_leaves_the_connection_for_the_next(upstream):
    answer = upstream.ask()
    upstream.say(ANSWER % (b"a1", b"hello"))
    assert answer.is_whole and answer.body == b"hello"
    assert upstream.idle == [upstream.connection]
    second = upstream.ask(b"a2")
    upstream.say(ANSWER % (b"a2", b"again"))
    assert second.body == b"again"


def test_an_answer_to_another_request_is_dropped_and_the_own_one_taken(upstream):
    answer = upstream.ask(b"a2")
    upstream.say(ANSWER % (b"a1", b"stale") + ANSWER % (b"a2", b"fresh"))
    assert answer.is_whole and answer.body == b"fresh"


def test_bytes_after_an_answer_end_the_connection(upstream):
    answer = upstream.ask()
    upstream.say(ANSWER % (b"a1", b"hello") + b"HTTP/1.1 200")
    assert answer.is_whole
    assert upstream.idle == [] and upstream.transport.is_aborted


def test_bytes_on_an_idle_connection_end_it(upstream):
    upstream.ask()
    upstream.say(ANSWER % (b"a1", b"hello"))
    upstream.say(b"HTTP/1.1 200 OK\r\n")
    assert upstream.transport.is_aborted


def test_an_answer_that_is_cut_is_not_whole(upstream):
    answer = upstream.ask()
    upstream.say(ANSWER % (b"a1", b"hel"))
    upstream.close()
    assert not answer.is_whole
    assert answer.failure.kind is FailureKind.LOST and not answer.failure.never_sent


def test_an_answer_without_length_ends_with_a_close(upstream):
    answer = upstream.ask()
    upstream.say(b"HTTP/1.1 200 OK\r\nid: a1\r\n\r\nall of it")
    upstream.close()
    assert answer.is_whole and answer.body == b"all of it"


def test_an_answer_without_length_that_is_reset_is_not_whole(upstream):
    answer = upstream.ask()
    upstream.say(b"HTTP/1.1 200 OK\r\nid: a1\r\n\r\nsome of it")
    upstream.reset()
    assert not answer.is_whole and answer.failure.kind is FailureKind.LOST


def test_bytes_that_are_no_answer_are_garbled(upstream):
    answer = upstream.ask()
    upstream.say(b"\x00\x01 nonsense\r\n\r\n")
    assert answer.failure.kind is FailureKind.GARBLED
    assert upstream.transport.is_aborted


def test_a_close_without_an_answer_leaves_it_unknown_whether_it_ran(upstream):
    answer = upstream.ask()
    upstream.close()
    assert answer.failure is not None and not answer.failure.never_sent


def test_an_announced_close_is_not_reused(upstream):
    answer = upstream.ask()
    upstream.say(b"HTTP/1.1 200 OK\r\nid: a1\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok")
    assert answer.is_whole and upstream.idle == []


def test_a_body_goes_out_whole_with_its_length(upstream):
    upstream.ask(method=b"POST", body=b"order")
    sent = upstream.transport.value()
    assert b"content-length: 5" in sent.lower() and sent.endswith(b"\r\n\r\norder")


def test_an_answer_before_the_request_was_read_is_taken(upstream):
    answer = upstream.ask(method=b"POST", body=b"x" * 100_000)
    upstream.say(b"HTTP/1.1 503 No\r\nid: a1\r\ncontent-length: 0\r\n\r\n")
    assert answer.is_whole and answer.status == 503


def test_a_silent_machine_shows_as_a_lost_connection(upstream):
    assert upstream.transport.socket.options[socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT] > 0
    assert upstream.transport.socket.options[socket.SOL_SOCKET, socket.SO_KEEPALIVE] == 1


def test_an_abort_is_the_last_that_is_heard(upstream):
    answer = upstream.ask()
    upstream.connection.abort()
    upstream.reset()
    assert answer.failure is None and not answer.is_whole
