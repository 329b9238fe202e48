"""Permits of the leader for single requests to upstreams that take few of them."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from ..clocks import Clock, Timeout, milliseconds
from ..links import ManagedLinks
from .messages import PermitAnswer, PermitRequest

__all__ = ["PermitSource", "Permits"]

# Time after which a question that the leader hasn't answered counts as denied: some round trips
# between data centres, and the time that a busy leader may need.
ANSWER_TIMEOUT = milliseconds(150)


class PermitSource(Protocol):
    """Decides on permits at the leader, and records denials at the others."""

    def grant_permit(self, name: str, now: timedelta) -> bool:
        """Return whether another instance may send a request to an upstream now."""

    def note_denied_permit(self, name: str, now: timedelta) -> None:
        """Ask for no further permit for a while."""


@dataclass(slots=True, eq=False)
class _Question:
    """A question to the leader; without a receiver if it has timed out."""

    receiver: Callable[[bool], None] | None


class Permits:
    """Questions of this instance to the leader, and the leader's answers to others.

    Answers come in the order of the questions. One that comes after its question has timed out is
    not taken for the answer to a later question, since its permit counts for an earlier time.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    source : PermitSource
    leader_name : callable
        Returns the member name of the present leader.
    is_leader : callable
        Returns whether this member leads.
    """

    def __init__(
        self,
        clock: Clock,
        links: ManagedLinks,
        source: PermitSource,
        leader_name: Callable[[], str],
        is_leader: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._links = links
        self._source = source
        self._leader_name = leader_name
        self._is_leader = is_leader
        # Unanswered questions by leader and upstream, in their order.
        self._questions: dict[tuple[str, str], deque[_Question]] = {}
        links.add_handler(PermitRequest, self._handle_request)
        links.add_handler(PermitAnswer, self._handle_answer)
        links.add_connect_handler(self._on_connected)

    def request(self, upstream: str, on_answer: Callable[[bool], None]) -> None:
        """Ask the leader for a permit, and call `on_answer` with whether it is granted.

        It is called once, later or at once if the leader can't be asked. A permit is for a request
        that is sent at once.
        """
        leader, question = self._leader_name(), _Question(on_answer)
        self._end_questions(lambda asked: asked != leader)
        questions = self._questions.setdefault((leader, upstream), deque())
        questions.append(question)
        if self._links.send(leader, PermitRequest(upstream)):
            Timeout(self._clock, ANSWER_TIMEOUT, self._end, upstream, question, False)
        else:
            questions.remove(question)
            self._end(upstream, question, False)

    def _end(self, upstream: str, question: _Question, is_granted: bool) -> None:
        """End a question unless it has ended."""
        receiver, question.receiver = question.receiver, None
        if receiver is not None:
            if not is_granted:
                self._source.note_denied_permit(upstream, self._clock.now())
            receiver(is_granted)

    def _on_connected(self, peer: str) -> None:
        """End the questions that were asked on a former stream."""
        self._end_questions(lambda asked: asked == peer)

    def _end_questions(self, is_lost: Callable[[str], bool]) -> None:
        """End the questions to leaders from which no answer comes any more."""
        lost = [key for key in self._questions if is_lost(key[0])]
        # Removed first, since a receiver may ask again.
        for upstream, questions in [(key[1], self._questions.pop(key)) for key in lost]:
            for question in questions:
                self._end(upstream, question, False)

    def _handle_request(self, peer: str, request: PermitRequest) -> None:
        is_granted = self._is_leader() and self._source.grant_permit(
            request.upstream, self._clock.now()
        )
        self._links.send(peer, PermitAnswer(request.upstream, is_granted))

    def _handle_answer(self, peer: str, answer: PermitAnswer) -> None:
        questions = self._questions.get((peer, answer.upstream))
        if questions:
            question = questions.popleft()
            if not questions:
                del self._questions[peer, answer.upstream]
            self._end(answer.upstream, question, answer.is_granted)
