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
    "FormerOwner",
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

# Earlier than any instant of an instance's clock.
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
    """Settings of a group that don't change while the instance runs.

    Attributes
    ----------
    service : str
    group : int
    slots : range
        Numbers of the group's slots.
    checks_fencing : bool
        Whether the servers refuse requests and grants under an older epoch.
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
        The row to be written.
    previous : GroupRow or None
        The row that it replaces; None for the group's first row.
    sent_at : dict of str to timedelta
        Instant at which each attempt that may have taken effect was sent, by writer identifier.
    is_in_flight : bool
        Whether the last attempt is unanswered.
    last_sent_at : timedelta
        Instant at which the last attempt was sent.
    """

    kind: WriteKind
    row: GroupRow
    previous: GroupRow | None
    sent_at: dict[str, timedelta] = field(default_factory=dict)
    is_in_flight: bool = False
    last_sent_at: timedelta = LONG_AGO


@dataclass(slots=True)
class Holder:
    """An entry instance that holds a routing lease of this coordinator.

    Attributes
    ----------
    lease_until : timedelta
        Instant at which all leases granted to the instance have ended.
    heard_at : timedelta
        Instant of its last lease request.
    """

    lease_until: timedelta
    heard_at: timedelta


@dataclass(slots=True)
class FormerOwner:
    """A server that owned slots or keys before a move.

    Attributes
    ----------
    slots : tuple of SlotRange
        Its former slots, with the new epoch.
    keys : tuple of (int, int)
        Its former key hashes, with the new epoch.
    grants_until : timedelta
        Instant at which its grants have ended.
    has_accepted : bool
        Whether it has acknowledged the revocation or its process is known to have ended.
    """

    slots: tuple[SlotRange, ...]
    keys: tuple[tuple[int, int], ...]
    grants_until: timedelta
    has_accepted: bool = False


@dataclass(slots=True)
class OpenMove:
    """A change of owners that is written in the row but not yet in effect.

    Attributes
    ----------
    epochs : frozenset of int
        Epochs of the slots and keys that it moves.
    slots, keys : frozenset of int
        The slots and the hashes of the keys that it moves.
    holders : dict of str to timedelta
        Members that may still use the former owners, with the ends of their leases.
    former_owners : dict of str to FormerOwner
        Former owners by server name.
    waits_for_earlier_leases : bool
        Whether the move also waits for the leases of earlier coordinators to end.
    is_released : bool
        Whether the wait is over, so that the new owners may receive grants.
    unaccepted_servers : set of str
        New owners that have not yet accepted their grants.
    released_at : timedelta
        Not used.
    """

    epochs: frozenset[int]
    slots: frozenset[int]
    keys: frozenset[int]
    holders: dict[str, timedelta]
    former_owners: dict[str, FormerOwner]
    waits_for_earlier_leases: bool
    is_released: bool = False
    unaccepted_servers: set[str] = field(default_factory=set)
    released_at: timedelta = LONG_AGO


@dataclass(slots=True)
class ConsentRound:
    """One round of requests for the standbys' consent.

    Attributes
    ----------
    number : int
        Identifies the round in the answers.
    sent_at : timedelta
    required : frozenset of str
        Members whose consent is needed.
    granted_by : set of str
        Members that have consented so far.
    """

    number: int
    sent_at: timedelta
    required: frozenset[str]
    granted_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Term:
    """One term of this instance as the coordinator.

    Attributes
    ----------
    started_at : timedelta
        Instant at which this instance knew that the write that began the term took effect.
    first_version : int
        Version of the row that began the term.
    former_standbys : tuple of str
        Standbys of the row before the term, if this instance wasn't one of them.
    previous_authority_until : timedelta
        Instant at which the authority from the former coordinator's last renewal has ended.
    inherited_leases_until : timedelta
        Instant at which all other authority of earlier coordinators has ended.
    min_inherited_leases_until : timedelta
        Lower bound of `inherited_leases_until`, whatever the former standbys reply.
    renewed_at : timedelta
        Instant at which the last successful renewal was sent.
    extended_until : timedelta
        End of the extension by the standbys' consent.
    read_sent_at : timedelta
        Instant at which the last read for a renewal was sent.
    asked_at : timedelta
        Instant at which consent, or a takeover, was last requested.
    queried_at : timedelta
        Instant at which the former standbys were last asked for their promises.
    grants_sent_at : timedelta
        Instant at which the servers' grants were last renewed.
    revocations_sent_at : timedelta
        Instant at which revocations were last repeated.
    moved_at : timedelta
        Instant of the last write of moves.
    maintained_at : timedelta
        Instant of the last write by `maintain_row`.
    consent_round : ConsentRound or None
    holders : dict of str to Holder
        Entry instances with routing leases, by member.
    server_grants_until : dict of str to timedelta
        Instant at which the grants of each server have ended.
    informed_servers : set of str
        Servers that have accepted a complete list of the slots and keys that they don't own.
    moves : list of OpenMove
        In the order in which they were written.
    """

    started_at: timedelta
    first_version: int
    former_standbys: tuple[str, ...]
    previous_authority_until: timedelta
    inherited_leases_until: timedelta
    min_inherited_leases_until: timedelta
    renewed_at: timedelta
    extended_until: timedelta = LONG_AGO
    read_sent_at: timedelta = LONG_AGO
    asked_at: timedelta = LONG_AGO
    queried_at: timedelta = LONG_AGO
    grants_sent_at: timedelta = LONG_AGO
    revocations_sent_at: timedelta = LONG_AGO
    moved_at: timedelta = LONG_AGO
    maintained_at: timedelta = LONG_AGO
    consent_round: ConsentRound | None = None
    holders: dict[str, Holder] = field(default_factory=dict)
    server_grants_until: dict[str, timedelta] = field(default_factory=dict)
    informed_servers: set[str] = field(default_factory=set)
    moves: list[OpenMove] = field(default_factory=list)

    @property
    def earlier_leases_until(self) -> timedelta:
        """Instant at which all leases granted by earlier coordinators have ended."""
        return max(self.previous_authority_until, self.inherited_leases_until)

    def authority_until(self, timing: LeaseTiming) -> timedelta:
        """Return the instant until which this coordinator may grant leases."""
        return authority_end(self.renewed_at, self.extended_until, timing)


@dataclass(slots=True)
class RoutingLease:
    """The routing lease of this instance on a group.

    Attributes
    ----------
    row : GroupRow or None
        The row that the lease covers.
    min_version : int
        Lowest row version whose leases are adopted.
    expires : timedelta
    closed_slots, closed_keys : set of int
        Slots and key hashes that the lease doesn't cover.
    acked_version : int
        No request of the instance runs under an owner from before this version.
    request_number : int
        Number of the last lease request or consent round.
    applied_number : int
        Number of the request whose lease was adopted last.
    requested_at : timedelta
        Instant of the last lease request; `LONG_AGO` requests a lease at once.
    sent_at : dict of int to timedelta
        Instant at which each of the latest lease requests was sent, by its number.
    """

    row: GroupRow | None = None
    min_version: int = 0
    expires: timedelta = LONG_AGO
    closed_slots: set[int] = field(default_factory=set)
    closed_keys: set[int] = field(default_factory=set)
    acked_version: int = 0
    request_number: int = 0
    applied_number: int = 0
    requested_at: timedelta = LONG_AGO
    sent_at: dict[int, timedelta] = field(default_factory=dict)


@dataclass(slots=True)
class Candidate:
    """Observations from which this instance decides whether to take over.

    Attributes
    ----------
    coordinator_heard_at : timedelta
        Instant of the last message from the coordinator.
    coordinator_heard_by_others_at : timedelta
        Instant at which another instance last reported messages from the coordinator.
    takeover_read_at : timedelta
        Instant of the last read that may lead to a takeover.
    superseded_count : int
        Number of terms that this instance has lost lately. Each doubles the time that it waits
        before it takes over.
    superseded_at : timedelta
        Instant at which it last lost a term.
    coordinator_isolated_at : timedelta
        Instant at which the coordinator last reported that it has not reached the table for
        longer than `LeaseTiming.isolation_timeout`.
    table_reached_since : timedelta or None
        Instant since which this instance has reached the table while the coordinator has not.
    handover_requested_at : timedelta
        Instant at which the coordinator last asked this instance to take over.
    """

    coordinator_heard_at: timedelta = LONG_AGO
    coordinator_heard_by_others_at: timedelta = LONG_AGO
    takeover_read_at: timedelta = LONG_AGO
    superseded_count: int = 0
    superseded_at: timedelta = LONG_AGO
    coordinator_isolated_at: timedelta = LONG_AGO
    table_reached_since: timedelta | None = None
    handover_requested_at: timedelta = LONG_AGO


@dataclass(slots=True)
class GroupState:
    """State of a group at one instance.

    Attributes
    ----------
    setup : GroupSetup
    servers : tuple of str
        Names of the service's targets.
    peers : dict of str to str
        Data centre of each other live instance, by name.
    known_row : GroupRow or None
        The row of the highest version that this instance has seen.
    write : PendingWrite or None
    term : Term or None
        The current term while this instance is the coordinator.
    promised_until : timedelta
        End of the last promise that this instance gave as a standby.
    granted_until : timedelta
        Latest end of the leases that this instance granted in any term.
    calls_in_flight : dict of str to timedelta
        Instant at which the unanswered call to each server was sent.
    next_call_at : dict of str to timedelta
        Earliest instant of the next call to each server that did not accept the last one.
    lease : RoutingLease
    candidate : Candidate
    write_count : int
        Number of writes sent, from which writer identifiers are made.
    first_tick_at : timedelta or None
    is_stopping : bool
    """

    setup: GroupSetup
    servers: tuple[str, ...]
    peers: dict[str, str] = field(default_factory=dict)
    known_row: GroupRow | None = None
    write: PendingWrite | None = None
    term: Term | None = None
    promised_until: timedelta = LONG_AGO
    granted_until: timedelta = LONG_AGO
    calls_in_flight: dict[str, timedelta] = field(default_factory=dict)
    next_call_at: dict[str, timedelta] = field(default_factory=dict)
    lease: RoutingLease = field(default_factory=RoutingLease)
    candidate: Candidate = field(default_factory=Candidate)
    write_count: int = 0
    first_tick_at: timedelta | None = None
    is_stopping: bool = False
