"""State of one group of slots at one entry instance."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from .authority import authority_end
from .grants import SlotRange
from .row import GroupRow
from .rules import Rules
from .timing import LeaseTiming

__all__ = [
    "Candidate",
    "ConsentRound",
    "Former",
    "GroupSetup",
    "GroupState",
    "Holder",
    "OpenMove",
    "PendingWrite",
    "RoutingLease",
    "Term",
    "WriteKind",
    "instance_of",
]

LONG_AGO = timedelta(days=-1)


def instance_of(member: str) -> str:
    """Return the name of a member's instance.

    Examples
    --------
    >>> instance_of("lade-1/5f3a")
    'lade-1'
    """
    return member.partition("/")[0]


@dataclass(frozen=True, slots=True)
class GroupSetup:
    """What stays the same for a group while the instance runs.

    Attributes
    ----------
    service : str
    group : int
    slots : range
        Numbers of the group's slots.
    checks_fencing : bool
        Whether the servers refuse what comes under an older epoch.
    member : str
        This instance, as ``NAME/INCARNATION``.
    data_centre : str
    standby_count : int
        Number of standbys that a coordinator names.
    timing : LeaseTiming
    rules : Rules
    """

    service: str
    group: int
    slots: range
    checks_fencing: bool
    member: str
    data_centre: str
    standby_count: int = 1
    timing: LeaseTiming = field(default_factory=LeaseTiming)
    rules: Rules = field(default_factory=Rules)

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return instance_of(self.member)


class WriteKind(Enum):
    """Purpose of a write."""

    TAKEOVER = "takeover"
    CHANGE = "change"


@dataclass(slots=True)
class PendingWrite:
    """A conditional write whose outcome is not known yet.

    Attributes
    ----------
    kind : WriteKind
    row : GroupRow
        The row as it will stand.
    previous : GroupRow or None
        The row that it replaces; None for the first.
    sent : dict of str to timedelta
        When each attempt that may have taken effect was sent, by its writer identifier.
    in_flight : bool
        Whether an attempt is unanswered.
    """

    kind: WriteKind
    row: GroupRow
    previous: GroupRow | None
    sent: dict[str, timedelta] = field(default_factory=dict)
    in_flight: bool = False
    last_sent: timedelta = LONG_AGO


@dataclass(slots=True)
class Holder:
    """An entry instance that holds a routing lease of this coordinator."""

    until: timedelta
    heard: timedelta


@dataclass(slots=True)
class Former:
    """A server that owned slots or keys before a move.

    Attributes
    ----------
    slots : tuple of SlotRange
        Its former slots, under the new epoch.
    keys : tuple of (int, int)
        Its former key hashes, with the new epoch.
    until : timedelta
        End of its grants.
    accepted : bool
        Whether it acknowledged the revocation or is known to be gone.
    """

    slots: tuple[SlotRange, ...]
    keys: tuple[tuple[int, int], ...]
    until: timedelta
    accepted: bool = False


@dataclass(slots=True)
class OpenMove:
    """A change of owners that is in the row and not yet in effect.

    Attributes
    ----------
    epochs : frozenset of int
        Epochs of the slots and keys that it concerns.
    slots, keys : frozenset of int
    holders : dict of str to timedelta
        Members that may still use the former owners, and until when.
    former : dict of str to Former
        Former owners by name.
    after_strangers : bool
        Whether leases of earlier coordinators must have ended as well.
    released : bool
        Whether the wait is over and the new owners may be granted.
    unaccepted : set of str
        New owners that have not yet accepted their grants.
    released_at : timedelta
    """

    epochs: frozenset[int]
    slots: frozenset[int]
    keys: frozenset[int]
    holders: dict[str, timedelta]
    former: dict[str, Former]
    after_strangers: bool
    released: bool = False
    unaccepted: set[str] = field(default_factory=set)
    released_at: timedelta = LONG_AGO


@dataclass(slots=True)
class ConsentRound:
    """One round of asking the standbys to move nothing."""

    number: int
    sent: timedelta
    required: frozenset[str]
    granted: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Term:
    """This instance's time as the coordinator.

    Attributes
    ----------
    started : timedelta
    first_version : int
        Version of the row that began the term.
    former_standbys : tuple of str
        Standbys of the row before it.
    plain_until : timedelta
        Instant at which the authority of the former coordinator's last renewal has ended.
    owed_until : timedelta
        Instant at which all else that earlier coordinators hold has ended.
    owed_at_least : timedelta
        The same, but for what a former standby can rule out.
    renewed : timedelta
        When the last renewal that succeeded was sent.
    extended : timedelta
        End of the extension by consent.
    holders : dict of str to Holder
    server_until : dict of str to timedelta
        End of the grants of each server.
    informed : set of str
        Servers that know all that they don't own.
    moves : list of OpenMove
    """

    started: timedelta
    first_version: int
    former_standbys: tuple[str, ...]
    plain_until: timedelta
    owed_until: timedelta
    owed_at_least: timedelta
    renewed: timedelta
    extended: timedelta = LONG_AGO
    read_sent: timedelta = LONG_AGO
    asked: timedelta = LONG_AGO
    queried: timedelta = LONG_AGO
    granted: timedelta = LONG_AGO
    revoked: timedelta = LONG_AGO
    moved: timedelta = LONG_AGO
    maintained: timedelta = LONG_AGO
    consent: ConsentRound | None = None
    holders: dict[str, Holder] = field(default_factory=dict)
    server_until: dict[str, timedelta] = field(default_factory=dict)
    informed: set[str] = field(default_factory=set)
    moves: list[OpenMove] = field(default_factory=list)

    @property
    def strangers_until(self) -> timedelta:
        """Instant at which all leases of earlier coordinators have ended."""
        return max(self.plain_until, self.owed_until)

    def authority(self, timing: LeaseTiming) -> timedelta:
        """Return the instant until which this coordinator may grant."""
        return authority_end(self.renewed, self.extended, timing)


@dataclass(slots=True)
class RoutingLease:
    """What this instance may route by.

    Attributes
    ----------
    row : GroupRow or None
        The row that the lease is for.
    floor : int
        Leases for older versions are not adopted any more.
    expires : timedelta
    closed_slots, closed_keys : set of int
        Not covered by the lease.
    acked : int
        No request runs under an owner from before this version.
    sent : dict of int to timedelta
        When each unanswered request was sent, by its number.
    """

    row: GroupRow | None = None
    floor: int = 0
    expires: timedelta = LONG_AGO
    closed_slots: set[int] = field(default_factory=set)
    closed_keys: set[int] = field(default_factory=set)
    acked: int = 0
    number: int = 0
    applied: int = 0
    pulled: timedelta = LONG_AGO
    sent: dict[int, timedelta] = field(default_factory=dict)


@dataclass(slots=True)
class Candidate:
    """What decides whether this instance takes over.

    Attributes
    ----------
    heard : timedelta
        Last word from the coordinator.
    heard_by_others : timedelta
        Last time another instance said that it hears the coordinator.
    tried : timedelta
        Last read with the intention to take over.
    superseded : int
        Times that this instance lost a term of its own lately; each doubles its patience.
    isolated : timedelta
        Last time the coordinator said that it has not reached the table for long.
    reached : timedelta or None
        Since when this instance has reached the table while the coordinator did not.
    invited : timedelta
        Last time the coordinator asked this instance to take over.
    """

    heard: timedelta = LONG_AGO
    heard_by_others: timedelta = LONG_AGO
    tried: timedelta = LONG_AGO
    superseded: int = 0
    superseded_at: timedelta = LONG_AGO
    isolated: timedelta = LONG_AGO
    reached: timedelta | None = None
    invited: timedelta = LONG_AGO


@dataclass(slots=True)
class GroupState:
    """All that one instance knows of a group.

    Attributes
    ----------
    setup : GroupSetup
    servers : tuple of str
        Names of the service's targets.
    peers : dict of str to str
        Data centre of each other live instance, by name.
    known : GroupRow or None
        The row of the highest version that this instance has seen.
    write : PendingWrite or None
    term : Term or None
        Present while this instance is the coordinator.
    promised : timedelta
        End of the last promise as a standby.
    granted : timedelta
        End of the longest lease granted in any term.
    calls : dict of str to timedelta
        When each server was last called that has not answered yet.
    call_again : dict of str to timedelta
        Earliest next call to each server that did not accept its last one.
    """

    setup: GroupSetup
    servers: tuple[str, ...]
    peers: dict[str, str] = field(default_factory=dict)
    known: GroupRow | None = None
    write: PendingWrite | None = None
    term: Term | None = None
    promised: timedelta = LONG_AGO
    granted: timedelta = LONG_AGO
    calls: dict[str, timedelta] = field(default_factory=dict)
    call_again: dict[str, timedelta] = field(default_factory=dict)
    lease: RoutingLease = field(default_factory=RoutingLease)
    candidate: Candidate = field(default_factory=Candidate)
    writes: int = 0
    began: timedelta | None = None
    stopping: bool = False
