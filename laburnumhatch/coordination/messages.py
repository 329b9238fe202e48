"""Messages between the leader and the other instances."""

from dataclasses import dataclass
from datetime import timedelta

from .leadership import LostHistory

__all__ = [
    "COORDINATION_MESSAGES",
    "AnnouncedLimit",
    "AnsweringUpstream",
    "ConcurrencyUpdate",
    "ConfigurationContent",
    "ConfigurationRequest",
    "ConfigurationUpdate",
    "CrashReport",
    "EvacuationUpdate",
    "KeyCount",
    "KeyLimit",
    "LeaderUpdate",
    "LeadershipYielded",
    "LeavingReport",
    "LeavingUpstream",
    "LimitReport",
    "LimitUpdate",
    "ListedUpstream",
    "LoadReport",
    "LostRequest",
    "MapChanges",
    "MapSpan",
    "PermitAnswer",
    "PermitRequest",
    "ReachReport",
    "RefutedCrash",
    "RegistryChanges",
    "RelayPeer",
    "RelayPeerList",
    "ReservedSlots",
    "RouteDemand",
    "ServiceDemand",
    "TermAnswer",
    "TermQuestion",
    "Totals",
    "UpstreamStats",
    "TimingReport",
    "UpstreamConcurrency",
    "UpstreamTimes",
    "WarmingUpstream",
    "WarmupReport",
    "WarmupUpdate",
]


@dataclass(frozen=True, slots=True)
class UpstreamStats:
    """Statistics of one instance about an upstream since its last report.

    Attributes
    ----------
    name : str
    in_flight : int
        Number of the instance's requests that are now in flight to the upstream.
    answered : int
        Number of answers to requests that ran.
    declined : int
        Number of answers that say that the request did not run.
    service_time : timedelta
        Total time for which the answered requests occupied a slot.
    """

    name: str
    in_flight: int
    answered: int
    declined: int
    service_time: timedelta


@dataclass(frozen=True, slots=True)
class KeyCount:
    """Number of requests of one priority for a key since the last report."""

    service: str
    key: int
    priority: int
    requests: int


@dataclass(frozen=True, slots=True)
class RouteDemand:
    """Expected work of the requests of one priority to a service since the last report.

    Requests for owned keys are not included. A `priority` of 0 is the most urgent.
    """

    service: str
    priority: int
    work: timedelta


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report of an instance to the leader."""

    upstreams: tuple[UpstreamStats, ...]
    keys: tuple[KeyCount, ...]
    demands: tuple[RouteDemand, ...]


@dataclass(frozen=True, slots=True)
class ReservedSlots:
    """Slots of a service that are reserved for urgent requests.

    Requests of `priority` and of more urgent ones may use them.
    """

    service: str
    priority: int
    slots: int


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream in the registry; see `laburnumhatch.fleet.Upstream`."""

    name: str
    started_at_ms: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool
    warmup_remaining: timedelta
    is_kept: bool = False


@dataclass(frozen=True, slots=True)
class RegistryChanges:
    """Upstreams that changed since the last message on the stream.

    Attributes
    ----------
    version : int
        Version of the leader's list of upstreams after the changes.
    is_full : bool
        Whether the message holds all upstreams and replaces the receiver's list.
    changed : tuple of ListedUpstream
        New and changed upstreams.
    removed : tuple of str
        Names of removed upstreams.
    """

    version: int
    is_full: bool
    changed: tuple[ListedUpstream, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KeyLimit:
    """Share of the requests of one priority for a key that the instances send, in thousandths."""

    service: str
    key: int
    priority: int
    share_per_mille: int


@dataclass(frozen=True, slots=True)
class MapSpan:
    """A range of keys and its owner; see `laburnumhatch.keyspace.MapRange`."""

    first: int
    last: int
    owner: str
    started_at_ms: int
    is_held: bool
    awaits_lease_expiry: bool


@dataclass(frozen=True, slots=True)
class MapChanges:
    """Ranges of a service's keys that changed since the last message on the stream.

    Attributes
    ----------
    service : str
    version : int
        Version of the ownership map after the changes.
    is_full : bool
        Whether the message holds all ranges and replaces the receiver's map.
    changed : tuple of MapSpan
        New and changed ranges.
    removed : tuple of int
        First keys of removed ranges.
    """

    service: str
    version: int
    is_full: bool
    changed: tuple[MapSpan, ...]
    removed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Totals:
    """Loads of the upstreams over all instances; see `pack_totals`.

    Attributes
    ----------
    registry_version : int
        Version of the list of upstreams. The totals are in the order of the names in that list.
    packed : bytes
    """

    registry_version: int
    packed: bytes


@dataclass(frozen=True, slots=True)
class LeaderUpdate:
    """Update from the leader to the other instances.

    Attributes
    ----------
    leader : str
        Member name of the leader.
    host : str
    port : int
        Address on which the leader accepts streams.
    term : int
    row_version : int
        Version of the leader's row in the store.
    lost_history : LostHistory or None
        As in the leader's row.
    instance_count : int
        Number of connected instances, including the leader.
    configuration_version : int
        Version of the configuration's row in the store; 0 if none is known.
    configuration_in_force : int
        Version of the configuration that the leader has in force; 0 if it has none. The store may
        hold an older one, after it has come back from a copy.
    configuration_age, registry_age : timedelta
        Time since the leader's last successful read of each.
    registry_changes : RegistryChanges or None
    map_changes : tuple of MapChanges
    totals : Totals or None
    reserved_slots : tuple of ReservedSlots
    key_limits : tuple of KeyLimit
    """

    leader: str
    host: str
    port: int
    term: int
    row_version: int
    lost_history: LostHistory | None
    instance_count: int
    configuration_version: int
    configuration_in_force: int
    configuration_age: timedelta
    registry_age: timedelta
    registry_changes: RegistryChanges | None
    map_changes: tuple[MapChanges, ...]
    totals: Totals | None
    reserved_slots: tuple[ReservedSlots, ...]
    key_limits: tuple[KeyLimit, ...]


@dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """Requests per second that an upstream takes from all instances together; None for no limit.

    `age` is the time since the answer that said so.
    """

    upstream: str
    rate_per_s: float | None
    age: timedelta


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Requests of callers per second for a service, at one instance or at all of them."""

    service: str
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Limits in answers to an instance since its last report, and the requests that it receives."""

    limits: tuple[AnnouncedLimit, ...]
    demands: tuple[ServiceDemand, ...]


@dataclass(frozen=True, slots=True)
class LimitUpdate:
    """All limits that the leader knows, and all requests for the services of these upstreams."""

    limits: tuple[AnnouncedLimit, ...]
    demands: tuple[ServiceDemand, ...]


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Question to the leader whether one request may be sent to an upstream with a limit."""

    upstream: str


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """Answer to the oldest unanswered `PermitRequest` for an upstream."""

    upstream: str
    is_granted: bool


@dataclass(frozen=True, slots=True)
class LeavingUpstream:
    """An upstream that leaves; see `laburnumhatch.fleet.UpstreamIncarnation`."""

    name: str
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class LeavingReport:
    """Upstreams that announced in an answer to an instance that they leave."""

    upstreams: tuple[LeavingUpstream, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Request for a configuration that is newer than `known_version`."""

    known_version: int


@dataclass(frozen=True, slots=True)
class ConfigurationContent:
    """The document of the configuration in force."""

    content: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """The document that the leader has in force, as changes of a former one.

    Attributes
    ----------
    row_version : int
        Version of the row in the store that holds the document; 0 if that is not known.
    version : int
        Version of the configuration.
    former_digest : bytes
        Digest of the former document; empty if there is none.
    changes : bytes
        See `pack_changes`.
    """

    row_version: int
    version: int
    former_digest: bytes
    changes: bytes


@dataclass(frozen=True, slots=True)
class TermQuestion:
    """Question for the highest term that a member knows, once it has seen a generation."""

    generation: int


@dataclass(frozen=True, slots=True)
class TermAnswer:
    """Highest term of a leader, itself included, that a member knows in a generation."""

    generation: int
    term: int


@dataclass(frozen=True, slots=True)
class LostRequest:
    """Copies of a request that were lost with an upstream; see `placement.LostCopies`.

    `age` is the time since the first request was lost with the upstream.
    """

    upstream: str
    started_at_ms: int
    fingerprint: bytes
    copies: int
    age: timedelta


@dataclass(frozen=True, slots=True)
class RefutedCrash:
    """An upstream that was thought to have crashed and has answered a later request."""

    upstream: str
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Requests that were lost with upstreams, between the leader and the other instances.

    Attributes
    ----------
    has_totals : bool
        Whether `lost` gives all copies that are known; otherwise those since the last report.
    lost : tuple of LostRequest
    answered : tuple of bytes
        Fingerprints of requests that got an answer after all.
    refuted : tuple of RefutedCrash
    """

    has_totals: bool
    lost: tuple[LostRequest, ...]
    answered: tuple[bytes, ...]
    refuted: tuple[RefutedCrash, ...]


@dataclass(frozen=True, slots=True)
class ReachReport:
    """Where an instance takes requests from others, and which services it doesn't reach.

    An instance that takes none, because it stops, has the port 0.
    """

    host: str
    port: int
    data_centre: str
    unreachable: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RelayPeer:
    """An instance to which requests may be passed on, as in its `ReachReport`."""

    member: str
    host: str
    port: int
    data_centre: str
    unreachable: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RelayPeerList:
    """Instances to which an instance that doesn't reach a service may pass requests on."""

    peers: tuple[RelayPeer, ...]


@dataclass(frozen=True, slots=True)
class LeadershipYielded:
    """Message of a leader that has resigned and stays a member."""

    term: int


@dataclass(frozen=True, slots=True)
class RegistryReadReport:
    """Message of a member to the leader that it has read the registry itself.

    Attributes
    ----------
    age : timedelta
        Time since the read was sent; not negative.
    """

    age: timedelta

    def __post_init__(self) -> None:
        if self.age < timedelta():
            raise ValueError("the age of a read is negative")


@dataclass(frozen=True, slots=True)
class WarmingUpstream:
    """An upstream that counts as warming up; see `laburnumhatch.placement.warmups`.

    Attributes
    ----------
    upstream : str
    age : timedelta
        Time since it was last assumed to warm up.
    awaits_answer : bool
        Whether it was unreachable and has not answered since.
    remaining : timedelta or None
        Rest of the warm-up; None if only a registration can tell.
    """

    upstream: str
    age: timedelta
    awaits_answer: bool
    remaining: timedelta | None


@dataclass(frozen=True, slots=True)
class AnsweringUpstream:
    """An upstream that was unreachable and has answered a request that was sent `age` ago."""

    upstream: str
    age: timedelta


@dataclass(frozen=True, slots=True)
class WarmupReport:
    """What an instance has found of upstreams that warm up since its last report.

    Attributes
    ----------
    found : tuple of WarmingUpstream
    answering : tuple of AnsweringUpstream
    silent : tuple of str
        Upstreams to which a connection wasn't opened in time.
    """

    found: tuple[WarmingUpstream, ...]
    answering: tuple[AnsweringUpstream, ...]
    silent: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WarmupUpdate:
    """All upstreams that count as warming up at the leader."""

    upstreams: tuple[WarmingUpstream, ...]


@dataclass(frozen=True, slots=True)
class EvacuationUpdate:
    """All data centres that the operator has evacuated, as the leader knows them.

    Attributes
    ----------
    data_centres : tuple of str
    age : timedelta
        Time since the read that found them was sent; not negative.
    """

    data_centres: tuple[str, ...]
    age: timedelta

    def __post_init__(self) -> None:
        if self.age < timedelta():
            raise ValueError("the age of a read is negative")


@dataclass(frozen=True, slots=True)
class UpstreamTimes:
    """Requests of an instance to an upstream; see `pack_times`.

    Attributes
    ----------
    upstream : str
    answered : bytes
        Requests that were answered since the last report.
    running : bytes
        Requests without an answer, by their age.
    """

    upstream: str
    answered: bytes
    running: bytes


@dataclass(frozen=True, slots=True)
class TimingReport:
    """All requests of an instance that run or were answered since its last report."""

    upstreams: tuple[UpstreamTimes, ...]


@dataclass(frozen=True, slots=True)
class UpstreamConcurrency:
    """What an upstream takes well; see `ConcurrencyEstimate`. Zeros say that nothing is known."""

    upstream: str
    unloaded: timedelta
    limit: int


@dataclass(frozen=True, slots=True)
class ConcurrencyUpdate:
    """Estimates of the leader that have changed since its last message on the stream."""

    upstreams: tuple[UpstreamConcurrency, ...]


FIRST_MESSAGE_TYPE = 400
COORDINATION_MESSAGES = (
    FIRST_MESSAGE_TYPE,
    (
        LoadReport,
        LeaderUpdate,
        LimitReport,
        LimitUpdate,
        LeavingReport,
        PermitRequest,
        PermitAnswer,
        ConfigurationRequest,
        ConfigurationContent,
        TermQuestion,
        TermAnswer,
        CrashReport,
        ReachReport,
        RelayPeerList,
        LeadershipYielded,
        RegistryReadReport,
        WarmupReport,
        WarmupUpdate,
        EvacuationUpdate,
        TimingReport,
        ConcurrencyUpdate,
        ConfigurationUpdate,
    ),
)
