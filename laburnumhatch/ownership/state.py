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
    sent_at : dict of str to timedelta
        When each attempt that may have taken effect was sent, by its writer identifier.
    is_in_flight : bool
        Whether an attempt is unanswered.
    """

    kind: WriteKind
    row: GroupRow
    previous: GroupRow | None
    sent_at: dict[str, timedelta] = field(default_factory=dict)
    is_in_flight: bool = False
    last_sent_at: timedelta = LONG_AGO


@dataclass(slots=True)
class Holder:
    """An entry instance that holds a routing lease of this coordinator."""

    lease_until: timedelta
    heard_at: timedelta


@dataclass(slots=True)
class FormerOwner:
    """A server that owned slots or keys before a move.

    Attributes
    ----------
    slots : tuple of SlotRange
        Its former slots, under the new epoch.
    keys : tuple of (int, int)
        Its former key hashes, with the new epoch.
    grants_until : timedelta
        End of its grants.
    has_accepted : bool
        Whether it acknowledged the revocation or is known to be gone.
    """

    slots: tuple[SlotRange, ...]
    keys: tuple[tuple[int, int], ...]
    grants_until: timedelta
    has_accepted: bool = False


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
    former_owners : dict of str to FormerOwner
        Former owners by name.
    waits_for_earlier_leases : bool
        Whether leases of earlier coordinators must have ended as well.
    is_released : bool
        Whether the wait is over and the new owners may be granted.
    unaccepted_servers : set of str
        New owners that have not yet accepted their grants.
    released_at : timedelta
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
    """One round of asking the standbys to move nothing."""

    number: int
    sent_at: timedelta
    required: frozenset[str]
    granted_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Term:
    """This instance's time as the coordinator.

    Attributes
    ----------
    started_at : timedelta
    first_version : int
        Version of the row that began the term.
    former_standbys : tuple of str
        Standbys of the row before it.
    previous_authority_until : timedelta
        Instant at which the authority of the former coordinator's last renewal has ended.
    inherited_leases_until : timedelta
        Instant at which all else that earlier coordinators hold has ended.
    min_inherited_leases_until : timedelta
        The same, but for what a former standby can rule out.
    renewed_at : timedelta
        When the last renewal that succeeded was sent.
    extended_until : timedelta
        End of the extension by consent.
    holders : dict of str to Holder
    server_grants_until : dict of str to timedelta
        End of the grants of each server.
    informed_servers : set of str
        Servers that know all that they don't own.
    moves : list of OpenMove
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
        """Instant at which all leases of earlier coordinators have ended."""
        return max(self.previous_authority_until, self.inherited_leases_until)

    def authority_until(self, timing: LeaseTiming) -> timedelta:
        """Return the instant until which this coordinator may grant."""
        return authority_end(self.renewed_at, self.extended_until, timing)


@dataclass(slots=True)
class RoutingLease:
    """What this instance may route by.

    Attributes
    ----------
    row : GroupRow or None
        The row that the lease is for.
    min_version : int
        Leases for older versions are not adopted any more.
    expires : timedelta
    closed_slots, closed_keys : set of int
        Not covered by the lease.
    acked_version : int
        No request runs under an owner from before this version.
    sent_at : dict of int to timedelta
        When each unanswered request was sent, by its number.
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
    """What decides whether this instance takes over.

    Attributes
    ----------
    coordinator_heard_at : timedelta
        Last word from the coordinator.
    coordinator_heard_by_others_at : timedelta
        Last time another instance said that it hears the coordinator.
    takeover_read_at : timedelta
        Last read with the intention to take over.
    superseded_count : int
        Times that this instance lost a term of its own lately; each doubles its patience.
    coordinator_isolated_at : timedelta
        Last time the coordinator said that it has not reached the table for long.
    table_reached_since : timedelta or None
        Since when this instance has reached the table while the coordinator did not.
    handover_requested_at : timedelta
        Last time the coordinator asked this instance to take over.
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
    """All that one instance knows of a group.

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
        Present while this instance is the coordinator.
    promised_until : timedelta
        End of the last promise as a standby.
    granted_until : timedelta
        End of the longest lease granted in any term.
    calls_in_flight : dict of str to timedelta
        When each server was last called that has not answered yet.
    next_call_at : dict of str to timedelta
        Earliest next call to each server that did not accept its last one.
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
