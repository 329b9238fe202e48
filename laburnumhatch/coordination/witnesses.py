"""Whether anybody can have been elected after a leader whose authority is over.

A member that takes over either has received an update of the leader before, so that the leader
knows it, or moves no keys for a while. So if all members that the leader has sent updates to know
of no later term, no key has been moved since.
"""

from collections.abc import Iterable

__all__ = ["Witnesses", "instance_of"]


def instance_of(member: str) -> str:
    """Return the instance name of a member, ``NAME/BOOT``.

    Examples
    --------
    >>> instance_of("entry-1/5c033848")
    'entry-1'
    """
    return member.partition("/")[0]


class Witnesses:
    """The members that this one has sent updates to, and the terms that they know.

    Attributes
    ----------
    generation : int
        Generation of the store that the terms are asked for.
    """

    def __init__(self) -> None:
        # By instance. Only the last process of an instance can be running.
        self._members: dict[str, str] = {}
        self._terms: dict[str, int] = {}
        self.generation = 0

    def note_members(self, members: Iterable[str]) -> None:
        """Record that updates are sent to members."""
        for member in members:
            self._members[instance_of(member)] = member

    def ask(self, generation: int) -> None:
        """Begin to collect the terms that are known in a generation of the store."""
        if generation != self.generation:
            self.generation = generation
            self._terms.clear()

    def note_answer(self, member: str, generation: int, term: int) -> None:
        """Record the highest term that a member knows; an answer of another generation is void."""
        if generation == self.generation:
            self._terms[member] = term

    def missing(self) -> list[str]:
        """Return the members that have not answered."""
        return [member for member in self._members.values() if member not in self._terms]

    def exclude_later_term(self, term: int) -> bool:
        """Return whether all members have answered and none knows a term above `term`."""
        return not self.missing() and all(
            self._terms[member] <= term for member in self._members.values()
        )
