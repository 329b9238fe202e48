"""Exchange of request times and of the estimates that follow from them."""

import struct
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from math import log

import logbook

from ..clocks import Clock, milliseconds
from ..fleet import Upstream
from ..links import ManagedLinks
from ..placement import LoadTracker
from ..placement.concurrency import ConcurrencyEstimate, ConcurrencyEstimator, TimedRequest
from ..placement.request_timings import UpstreamTimings
from .messages import ConcurrencyUpdate, TimingReport, UpstreamConcurrency, UpstreamTimes

__all__ = ["ConcurrencySharing", "pack_times", "unpack_times"]

# Age of the request's end and its duration in milliseconds, and its work ratio in thousandths.
_ENTRY = struct.Struct("<HHH")
MAX_UINT16 = 65_535
# Change of the logarithm of a time that is sent to the other instances.
MIN_LOG_CHANGE = 0.06
# Time between two evaluations of an instance that has no leader.
ALONE_INTERVAL = milliseconds(250)
# Time after which a leader that has sent no estimates has none: one of an older build doesn't know
# them, and those that were made without it would never change.
SILENCE_LIMIT = milliseconds(5000)
# Name under which an instance adds its own requests.
OWN = ""

_log = logbook.Logger("laburnumhatch.member")


def pack_times(requests: Iterable[TimedRequest], now: timedelta) -> bytes:
    """Return requests encoded by their age at the sending of the report."""
    packed = bytearray()
    for request in requests:
        age, duration = now - request.seen_at, request.seen_at - request.sent_at
        packed += _ENTRY.pack(
            min(max(round(age / milliseconds(1)), 0), MAX_UINT16),
            min(max(round(duration / milliseconds(1)), 0), MAX_UINT16),
            min(max(round(request.work_ratio * 1000), 1), MAX_UINT16),
        )
    return bytes(packed)


def unpack_times(packed: bytes, now: timedelta) -> list[TimedRequest]:
    """Return encoded requests.

    Raises
    ------
    ValueError
        If the length is not a multiple of the size of an entry.
    """
    if len(packed) % _ENTRY.size:
        raise ValueError(f"{len(packed)} bytes of request times")
    requests = []
    for age_ms, duration_ms, work_per_mille in _ENTRY.iter_unpack(packed):
        seen_at = now - milliseconds(age_ms)
        sent_at = seen_at - milliseconds(duration_ms)
        requests.append(TimedRequest(sent_at, seen_at, max(work_per_mille, 1) / 1000))
    return requests


class ConcurrencySharing:
    """What each upstream takes well, as estimated by the leader for all instances.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    load_tracker : LoadTracker
        Holds the times of this instance's requests, and takes up the estimates.
    upstreams : callable
        Returns the known upstreams by name.
    leader_name : callable
        Returns the member name of the present leader.
    is_leader : callable
        Returns whether this member leads.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        links: ManagedLinks,
        load_tracker: LoadTracker,
        upstreams: Callable[[], Mapping[str, Upstream]],
        leader_name: Callable[[], str],
        is_leader: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._links = links
        self._load_tracker = load_tracker
        self._upstreams = upstreams
        self._leader_name = leader_name
        self._is_leader = is_leader
        # Estimator of an instance that leads or has no leader; None while another one estimates.
        self._estimator: ConcurrencyEstimator | None = None
        self._evaluated_at = timedelta(days=-1)
        # Estimate of each upstream as last sent, with the number of the update that it changed in.
        self._sent: dict[str, tuple[ConcurrencyEstimate, int]] = {}
        self._update_number = 0
        self._peer_numbers: dict[str, int] = {}
        # Estimates as received from the leader over the present stream.
        self._received: dict[str, ConcurrencyEstimate] = {}
        self._connected_at = timedelta(days=-1)
        links.add_handler(TimingReport, self._handle_report)
        links.add_handler(ConcurrencyUpdate, self._handle_update)
        links.add_connect_handler(self._on_connected)

    def set_enabled(self, is_enabled: bool) -> None:
        """Begin or end to record and to estimate."""
        timings = self._load_tracker.timings
        if timings.is_enabled == is_enabled:
            return
        timings.is_enabled = is_enabled
        _log.info("adaptive concurrency is {}", "on" if is_enabled else "off")
        timings.clear()
        self.forget_requests()
        for name in list(self._load_tracker.estimates):
            self._load_tracker.set_estimate(name, ConcurrencyEstimate())

    def report_to_leader(self) -> None:
        """Send the leader the times of this instance's requests since its last report."""
        if not self._load_tracker.timings.is_enabled:
            return
        self._use_received()
        now = self._clock.now()
        report = TimingReport(
            tuple(
                UpstreamTimes(t.name, pack_times(t.answered, now), pack_times(t.running, now))
                for t in self._load_tracker.timings.collect(now)
            )
        )
        self._links.send(self._leader_name(), report)

    def update_followers(self) -> None:
        """Estimate as the leader, and send each instance what has changed noticeably."""
        if not self._load_tracker.timings.is_enabled:
            return
        self._estimate()
        peers = self._links.connected_peers()
        for disconnected in self._peer_numbers.keys() - set(peers):
            del self._peer_numbers[disconnected]
            if self._estimator is not None:
                self._estimator.end_report(disconnected, ())
        self._note_changes()
        updates: dict[int, ConcurrencyUpdate] = {}
        for peer in peers:
            known = self._peer_numbers.get(peer, 0)
            if known not in updates:
                updates[known] = self._changes_since(known)
            if not updates[known].upstreams or self._links.send(peer, updates[known]):
                self._peer_numbers[peer] = self._update_number

    def estimate_alone(self) -> None:
        """Estimate from this instance's requests, because no leader is heard."""
        now = self._clock.now()
        if self._load_tracker.timings.is_enabled and now - self._evaluated_at >= ALONE_INTERVAL:
            self._estimate()

    def forget_requests(self) -> None:
        """Drop what was estimated here, because another instance estimates."""
        self._estimator = None
        self._sent.clear()
        self._peer_numbers.clear()

    def _use_received(self) -> None:
        """Use the leader's estimates, if those made without it or none are in use."""
        was_alone = self._estimator is not None
        self.forget_requests()
        tracker, upstreams = self._load_tracker, self._upstreams()
        if not self._received and self._clock.now() - self._connected_at > SILENCE_LIMIT:
            for name in list(tracker.estimates):
                tracker.set_estimate(name, ConcurrencyEstimate())
        for name, estimate in self._received.items():
            if name in upstreams and (was_alone or name not in tracker.estimates):
                tracker.set_estimate(name, estimate)

    def _on_connected(self, peer: str) -> None:
        self._peer_numbers.pop(peer, None)
        if peer == self._leader_name():
            self._received.clear()
            self._connected_at = self._clock.now()

    def _estimate(self) -> None:
        now, upstreams = self._clock.now(), self._upstreams()
        self._evaluated_at = now
        tracker = self._load_tracker
        estimator = self._estimator
        if estimator is None:
            estimator = self._estimator = ConcurrencyEstimator()
            for name, known in tracker.estimates.items():
                if name in upstreams:
                    estimator.adopt(upstreams[name], known, now)
        self._add(estimator, OWN, tracker.timings.collect(now))
        estimates = estimator.evaluate(upstreams, now)
        for name in tracker.estimates.keys() - estimates.keys():
            tracker.set_estimate(name, ConcurrencyEstimate())
        for name, estimate in estimates.items():
            former = tracker.estimates.get(name, ConcurrencyEstimate())
            tracker.set_estimate(name, estimate)
            _log_limit(name, former.limit, estimate, upstreams[name].slots)

    def _add(
        self, estimator: ConcurrencyEstimator, reporter: str, timings: Iterable[UpstreamTimings]
    ) -> None:
        upstreams = self._upstreams()
        names = set()
        for times in timings:
            if times.name in upstreams:
                names.add(times.name)
                estimator.add(reporter, upstreams[times.name], times.answered, times.running)
        estimator.end_report(reporter, names)

    def _note_changes(self) -> None:
        estimates = self._load_tracker.estimates
        number = self._update_number + 1
        changed = {
            name: (estimate, number)
            for name, estimate in estimates.items()
            if name not in self._sent or _has_changed(self._sent[name][0], estimate)
        }
        for name in self._sent.keys() - estimates.keys():
            if self._sent[name][0] != ConcurrencyEstimate():
                changed[name] = ConcurrencyEstimate(), number
        if changed:
            self._sent.update(changed)
            self._update_number = number
        registered = self._upstreams()
        for name in [n for n in self._sent if n not in registered and n not in changed]:
            del self._sent[name]

    def _changes_since(self, known: int) -> ConcurrencyUpdate:
        return ConcurrencyUpdate(
            tuple(
                UpstreamConcurrency(name, timedelta(seconds=estimate.unloaded_s), estimate.limit)
                for name, (estimate, number) in self._sent.items()
                if number > known
            )
        )

    def _handle_report(self, peer: str, report: TimingReport) -> None:
        if not self._is_leader() or self._estimator is None:
            return
        now = self._clock.now()
        try:
            timings = [
                UpstreamTimings(
                    times.upstream,
                    tuple(unpack_times(times.answered, now)),
                    tuple(unpack_times(times.running, now)),
                )
                for times in report.upstreams
            ]
        except ValueError as e:
            _log.warning("a report of request times from {} is ignored: {}", peer, e)
            return
        self._add(self._estimator, peer, timings)

    def _handle_update(self, peer: str, update: ConcurrencyUpdate) -> None:
        if self._is_leader() or peer != self._leader_name():
            return
        is_enabled = self._load_tracker.timings.is_enabled
        for upstream in update.upstreams:
            unloaded_s = max(upstream.unloaded.total_seconds(), 0.0)
            estimate = ConcurrencyEstimate(unloaded_s, max(upstream.limit, 0))
            self._received[upstream.upstream] = estimate
            # A configuration comes into force at the leader and here at different times.
            if is_enabled:
                self._load_tracker.set_estimate(upstream.upstream, estimate)


def _has_changed(former: ConcurrencyEstimate, present: ConcurrencyEstimate) -> bool:
    if former.limit != present.limit or not former.unloaded_s or not present.unloaded_s:
        return former != present
    return abs(log(present.unloaded_s / former.unloaded_s)) > MIN_LOG_CHANGE


def _log_limit(name: str, former: int, estimate: ConcurrencyEstimate, slots: int) -> None:
    limit = estimate.limit
    if limit == former:
        return
    if 0 < limit < slots:
        _log.info(
            "upstream {} takes {} concurrent requests well, of {} slots; {:.0f} ms for each",
            name,
            limit,
            slots,
            estimate.unloaded_s * 1000,
        )
    elif 0 < former < slots:
        _log.info("upstream {} takes requests for all its slots well again", name)
