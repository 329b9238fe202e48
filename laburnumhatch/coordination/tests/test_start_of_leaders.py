"""All ways in which a member becomes the leader, with what may happen before it knows the owners.

Each case takes one way to the leadership, one event between the election and the read of the
recorded owners, one fate of that read, and one of the leader's writes at that time. The cluster
checks that no key gets two holders or a token that was used.
"""

from datetime import timedelta
from itertools import product

import msgspec
import pytest
from twisted.internet.defer import Deferred

from ...clocks import milliseconds
from ...fleet import ServiceProperties
from ...keyspace import decode_record
from ..leadership import decode_leader
from .cluster import Cluster
from .test_lost_history import all_keys_held, exchange_owners, move_keys

# Time until all keys are held again: two times until lost leases have ended, with the elections.
SETTLING_S = 40
NAMES = ("a", "b", "c")


class Start:
    """A cluster whose next leader meets an event before it has read the owners of keys.

    Attributes
    ----------
    event, read_fates, write_fate
        What the next leader meets.
    elected : str or None
        The member that was elected and met them.
    last_tokens : dict of str to int
        Highest last token that was recorded, by service.
    """

    def __init__(self, clock, generation=1):
        self.cluster = Cluster(clock)
        self.cluster.store.generation = generation
        self.first_copy = self.cluster.store.copy()
        self.cluster.upstreams.add("u1", "u2", "u3", "u4")
        self.event, self.read_fates, self.write_fate = "nothing", [], "answered"
        self.elected = None
        self.last_tokens = {}
        self._is_armed = False
        self._has_maps = True
        self._leader = ""
        self._boots = 1
        self.cluster.store.on_commit = self._check_commit

    def arm(self):
        """Let the next member that is elected meet the event."""
        self._is_armed = True

    def run(self, seconds):
        for _ in range(round(seconds * 25)):
            self.cluster.run(0.04)
            assert len(self.cluster.leaders()) <= 1
            for name in self.cluster.leaders():
                self._check_known_ends(self.cluster.members[name]._leader)

    def _check_known_ends(self, leader):
        """Check that no lease lasts longer than the leader, if it knows the owners, counts with."""
        now = self.cluster.clock.now()
        known = leader.services["s"].leases if leader is not None and "s" in leader.services else []
        for lease in known:
            for holder, spans in self.cluster.upstreams.leases_by_upstream.items():
                ends = [lease.held_until if lease.owner.name == holder else now]
                if lease.former is not None and lease.former.incarnation.name in (holder, ""):
                    ends.append(lease.former.expires_at)
                for (first, last), until in spans.items():
                    is_held = first <= lease.last and lease.first <= last
                    assert not is_held or until <= max(now, *ends), f"{holder} holds {lease}"

    def _check_commit(self, member, rows):
        for row in rows:
            if row.table == "keys":
                last_token = decode_record(row.value).last_token
                assert last_token >= self.last_tokens.get(row.key, 0), f"{member} writes {row}"
                self.last_tokens[row.key] = last_token
            elif decode_leader(row.value).has_resigned:
                self._leader = ""
            elif member != self._leader:
                self._leader = member
                if self._is_armed:
                    self._is_armed, self.elected = False, member
                    self._meet(member)

    def _meet(self, member):
        store, clock = self.cluster.store, self.cluster.clock
        if not self._has_maps:
            self.cluster.members[member].ownership_maps.clear()
        store.read_fates[member, "keys"] = list(self.read_fates)
        if self.write_fate == "lost":
            store.answers_to_lose = 2
        elif self.write_fate == "late":
            store.write_delays = [timedelta(seconds=2), timedelta(seconds=1)]
        elif self.write_fate == "refused":
            store.refused_writers = {member}
            clock.call_later(timedelta(seconds=2), store.refused_writers.clear)
        if self.event in EVENTS_BEFORE_THE_READ:
            getattr(self, f"find_{self.event}")(member)
        else:
            clock.call_later(milliseconds(10), getattr(self, f"meet_{self.event}"), member)

    # Events after the read of the owners was sent.

    def meet_nothing(self, member):
        pass

    def meet_registry_change(self, member):
        upstreams = self.cluster.upstreams
        upstreams.remove(list(upstreams.registered)[1])
        upstreams.add("x")
        self.read_again(member)

    def meet_configuration_change(self, member):
        self.cluster.services = {**self.cluster.services, "t": ServiceProperties("t", 100, True)}
        self.cluster.publish(2)
        self.read_again(member)

    def read_again(self, member):
        """Let a member read the registry and the configuration at once."""
        reader = self.cluster.members[member]._reader
        reader.registry_as_of = reader.configuration_as_of = timedelta(days=-1)
        reader._last_sent_at.clear()

    def meet_copy(self, member):
        self.cluster.store.restore(self.copy)

    def meet_copy_that_is_seen_at_once(self, member):
        self.cluster.store.restore(self.copy)
        if member in self.cluster.members:
            self.meet_registry_change(member)

    def meet_first_copy(self, member):
        self.cluster.store.restore(self.first_copy)
        self.cluster.publish(1)
        self.read_again(member)

    def meet_stop(self, member):
        Deferred.fromCoroutine(self.cluster.members[member].resign())
        self.cluster.clock.call_later(timedelta(seconds=1.5), lambda: self.cluster.crash(member))

    def meet_yield(self, member):
        self.cluster.members[member].abstain(timedelta(seconds=2))

    def meet_crash(self, member):
        self.cluster.crash(member)

    # Events before it was sent.

    def find_outage_and_copy(self, member, outage=timedelta(seconds=1.6)):
        store = self.cluster.store
        store.is_down = True

        def come_back():
            self.meet_copy_that_is_seen_at_once(member)
            store.is_down = False

        self.cluster.clock.call_later(outage, come_back)

    def find_short_outage_and_copy(self, member):
        self.find_outage_and_copy(member, milliseconds(300))

    # Ways to the leadership.

    def lead_first(self):
        self.arm()
        self.cluster.add(*NAMES)
        self.copy = self.first_copy

    def begin(self):
        """Let a leader grant all keys, and some of them change owners after a copy is made."""
        self.cluster.add(*NAMES)
        self.run(4)
        self.copy = self.cluster.store.copy()
        move_keys(self.cluster)
        (leader,) = self.cluster.leaders()
        return leader

    def lead_after_a_loss(self):
        leader = self.begin()
        self.arm()
        self.cluster.crash(leader)

    def lead_after_a_loss_without_the_store(self):
        # The leader grants the longest leases before it is lost.
        leader = self.begin()
        self.cluster.store.refused_writers = {leader}
        self.run(1.1)
        self.cluster.store.refused_writers = set()
        self.arm()
        self.cluster.crash(leader)

    def lead_after_a_resignation(self):
        leader = self.begin()
        self.arm()
        Deferred.fromCoroutine(self.cluster.members[leader].resign())

    def lead_after_yielding(self):
        # The former leader is the only one that may lead next.
        leader = self.begin()
        for name in NAMES:
            if name != leader:
                self.cluster.members[name].abstain(timedelta(seconds=6))
        self.arm()
        self.cluster.members[leader].abstain(milliseconds(200))

    def lead_after_a_restart(self):
        self.begin()
        self.restart_all()

    def restart_all(self):
        for name in list(self.cluster.members):
            self.cluster.crash(name)
        self._boots += 1
        self.arm()
        self.cluster.add(*(f"{name}/{self._boots}" for name in NAMES))

    def lead_after_a_copy(self):
        leader = self.begin()
        self.cluster.store.restore(self.copy)
        self.cluster.crash(leader)
        self.arm()

    def lead_after_two_copies(self):
        (leader,) = self.lose_rows_and_recover()
        self.arm()
        Deferred.fromCoroutine(self.cluster.members[leader].resign())

    def lead_after_two_copies_without_maps(self):
        # The next leader has received none that tells the last owners, as after its start.
        self.lead_after_two_copies()
        self._has_maps = False

    def lead_after_two_copies_and_a_restart(self):
        self.lose_rows_and_recover()
        self.restart_all()

    def lose_rows_and_recover(self):
        """Let a copy take effect, and make another one before keys change owners."""
        leader = self.begin()
        self.cluster.store.restore(self.copy)
        self.cluster.crash(leader)
        self.cluster.add("d")
        # The leases of the first loss have ended, and keys have changed owners since.
        self.run(18)
        self.copy = self.cluster.store.copy()
        move_keys(self.cluster)
        exchange_owners(self.cluster)
        return self.cluster.leaders()


def members_of(prefix):
    return [name.removeprefix(prefix) for name in dir(Start) if name.startswith(prefix)]


EVENTS_BEFORE_THE_READ = members_of("find_")
WAYS, EVENTS = members_of("lead_"), members_of("meet_") + EVENTS_BEFORE_THE_READ
READS = {
    "prompt": [milliseconds(30)],
    "slow": [milliseconds(700)],
    "late": [milliseconds(1900)],
    "lost": [None, milliseconds(30)],
    "lost twice": [None, None],
}
WRITES = ["answered", "lost", "late", "refused"]


def play(clock, way, event, read, write, generation=1):
    start = Start(clock, generation)
    start.event, start.read_fates, start.write_fate = event, READS[read], write
    getattr(start, f"lead_{way}")()
    start.run(SETTLING_S)
    assert start.elected is not None
    assert len(start.cluster.leaders()) == 1
    assert all_keys_held(start.cluster)
    for key, row in start.cluster.store.rows.items():
        if key[0] == "keys":
            assert decode_record(row.value).generation == start.cluster.store.generation
    return start


# Each pair of a way, an event and a read is played with one of the writes, which take turns.
CASES = [
    (way, event, read, WRITES[(w + e + r) % len(WRITES)])
    for (w, way), (e, event), (r, read) in product(
        enumerate(WAYS), enumerate(EVENTS), enumerate(READS)
    )
]


@pytest.mark.parametrize(("way", "event", "read", "write"), CASES)
def test_no_order_gives_a_key_two_holders_or_a_used_token(clock, way, event, read, write):
    play(clock, way, event, read, write)


def test_change_of_the_registry_before_the_read_does_not_overwrite_the_record(clock):
    # A renewal carried an empty record, and the keys were assigned anew under used tokens.
    start = play(clock, "after_a_resignation", "registry_change", "lost", "answered")
    assert start.last_tokens["s"] < 2_000_000


def test_leases_that_a_second_copy_hides_are_waited_for(clock):
    # The wait was counted from the loss by the first copy, and keys got second holders at once.
    play(clock, "after_two_copies_without_maps", "short_outage_and_copy", "prompt", "answered")


@pytest.mark.parametrize("outage_s", [0, 0.3])
def test_leader_row_of_a_generation_comes_with_the_rows_of_owners(clock, outage_s):
    # A leader's row alone told its successor that nothing was lost.
    start = Start(clock)
    leader, cluster = start.begin(), start.cluster
    store = cluster.store
    store.read_fates[leader, "keys"] = [None]
    store.is_down = outage_s > 0
    start.run(outage_s)
    store.restore(start.first_copy)
    cluster.publish(1)
    store.is_down = False
    for _ in range(30):
        start.run(0.04)
        row = store.rows.get(("leader", "leader"))
        if row is not None and decode_leader(row.value).generation == store.generation:
            assert decode_record(store.rows["keys", "s"].value).generation == store.generation
    cluster.crash(leader)
    start.run(SETTLING_S)
    assert all_keys_held(cluster)


@pytest.mark.parametrize("phase_ms", range(0, 400, 40))
def test_late_renewal_does_not_elect_a_leader_that_has_yielded(clock, phase_ms):
    # It led again as after its first election, before which there were no long leases.
    start = Start(clock)
    start.cluster.add("a")
    start.run(6)
    store, member = start.cluster.store, start.cluster.members["a"]
    store.refused_writers = {"a"}
    start.run(1.0)
    store.refused_writers = set()
    start.run(0.4 + phase_ms / 1000)
    start.cluster.upstreams.unresponsive.add("u1")
    start.cluster.upstreams.remove("u1")
    member.abstain(milliseconds(1))
    # The last renewal before the resignation gets no answer.
    start.run(0.16)
    store.answers_to_lose = 1
    start.run(SETTLING_S)
    assert all_keys_held(start.cluster)


def test_leader_that_is_elected_while_it_stops_does_not_rule_out_long_leases(clock):
    start = Start(clock)
    start.begin()
    start.arm()
    store, cluster = start.cluster.store, start.cluster
    store.answer_times = {name: milliseconds(200) for name in NAMES}
    (leader,) = cluster.leaders()
    successor, other = (name for name in NAMES if name != leader)
    cluster.crash(other)
    cluster.crash(leader)
    while not cluster.members[successor]._writer._is_writing:
        clock.advance(milliseconds(5))
    resigning = Deferred.fromCoroutine(cluster.members[successor].resign())
    while not resigning.called:
        clock.advance(milliseconds(5))
    record = decode_leader(store.rows["leader", "leader"].value)
    assert record.member == successor and record.has_resigned
    assert record.long_holds


@pytest.mark.parametrize("value", [b"\xc1", msgspec.msgpack.encode([9, "later build"])])
def test_record_that_can_not_be_decoded_is_not_overwritten_as_if_it_were_absent(clock, value):
    start = Start(clock)
    leader = start.begin()
    store = start.cluster.store
    start.cluster.crash(leader)
    last_token = decode_record(store.rows["keys", "s"].value).last_token
    if value[0] == 0x92:
        value = msgspec.msgpack.encode([last_token, "later build"])
    store.put(("keys", "s"), value)
    start.run(SETTLING_S)
    if value[0] == 0x92:
        # The last token is known, so keys are granted anew once no unknown lease is left.
        assert all_keys_held(start.cluster)
    else:
        assert store.rows["keys", "s"].value == value
