"""Questions of a leader to the members that know it, whether they know a later one."""

from collections.abc import Callable, Iterable

import logbook

from ..links import ManagedLinks
from .leadership import Leadership
from .messages import TermAnswer, TermQuestion
from .witnesses import Witnesses

__all__ = ["TermExchange"]

_log = logbook.Logger("laburnumhatch.member")


class TermExchange:
    """Questions of this member to others for the highest term they know, and its answers to them.

    Parameters
    ----------
    links : ManagedLinks
    leadership : Leadership
    generation : callable
        Returns the generation of the store that this member has seen.
    read_leader_row : callable
        Reads the leader's row, which shows the generation.
    on_no_later_leader : callable
        Called when all members have answered and none knows a later leader.
    """

    def __init__(
        self,
        links: ManagedLinks,
        leadership: Leadership,
        generation: Callable[[], int],
        read_leader_row: Callable[[], None],
        on_no_later_leader: Callable[[], None],
    ) -> None:
        self._links = links
        self._leadership = leadership
        self._generation = generation
        self._read_leader_row = read_leader_row
        self._on_no_later_leader = on_no_later_leader
        self._witnesses = Witnesses()
        links.add_handler(TermQuestion, self._handle_question)
        links.add_handler(TermAnswer, self._handle_answer)

    def note_members(self, members: Iterable[str]) -> None:
        """Record that updates are sent to members."""
        self._witnesses.note_members(members)

    def ask(self) -> None:
        """Ask the members that know this leader for later ones."""
        self._witnesses.ask(self._generation())
        for member in self._witnesses.missing():
            self._links.send(member, TermQuestion(self._generation()))
        self._conclude()

    def _conclude(self) -> None:
        leadership = self._leadership
        if leadership.awaits_witnesses and self._witnesses.exclude_later_term(leadership.led_term):
            _log.info("no member knows a leader after term {}", leadership.led_term)
            self._on_no_later_leader()

    def _handle_question(self, peer: str, question: TermQuestion) -> None:
        if self._generation() < question.generation:
            # Answered at the next question, once no answer of the earlier generation counts here.
            self._read_leader_row()
            return
        self._links.send(peer, TermAnswer(question.generation, self._leadership.highest_term))

    def _handle_answer(self, peer: str, answer: TermAnswer) -> None:
        self._witnesses.note_answer(peer, answer.generation, answer.term)
        if answer.term > self._leadership.led_term:
            _log.warning("member {} knows a leader of term {}", peer, answer.term)
        self._conclude()
