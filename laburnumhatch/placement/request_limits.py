"""Pace of the requests to upstreams that announced how many they take, or asked for a pause.

The load that this answers is that of an upstream in need, whatever the callers ask for; requests
beyond it go to another upstream, or are refused at once if only this one can serve them.

Few instances each send their share of the announced rate, in proportion to their share of the
requests for the service, without asking the others. Each may send one request at once, however
small its share is; many instances that have all been quiet could exceed the limit together. So each
of many asks the leader for a permit for each request.

A pause is asked of one instance alone.
"""

import random
from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

import logbook

from ..clocks import milliseconds

__all__ = ["ObservedLimit", "RequestLimits"]

# Share of an announced rate that the instances use together. The rest is a margin, since their
# shares are known with a delay.
USED_SHARE = 0.9
# Requests that an instance may send at once, over all instances: a number and a time at the
# announced rate.
BURST_REQUESTS = 4.0
BURST_DURATION_S = 2.0
# Rate that is assumed at least, in requests per second. Without requests, there would be no answers
# to tell that the limit has ended.
MIN_RATE_PER_S = 0.25
# Time for which this instance's own observation goes before what the leader tells, which may be
# older.
OWN_OBSERVATION_LIFETIME = milliseconds(1000)
# Time for which the limit of an upstream that isn't registered is remembered.
ABSENCE_LIFETIME = timedelta(seconds=30)

_log = logbook.Logger("laburnumhatch.limits")


@dataclass(frozen=True, slots=True)
class ObservedLimit:
    """Limit in an answer, None if it named none, and the time of the answer."""

    rate_per_s: float | None
    observed_at: timedelta


@dataclass(slots=True)
class _LimitedUpstream:
    """Announced rate and token bucket of one upstream."""

    rate_per_s: float
    tokens: float
    refilled_at: timedelta


@dataclass(slots=True)
class RequestLimits:
    """Announced rates by upstream, and what this instance may send of them.

    Attributes
    ----------
    rng : random.Random
        Source of the initial fill of the token buckets, which keeps the instances from sending at
        the same time.
    """

    rng: random.Random = field(default_factory=random.Random)
    _limited: dict[str, _LimitedUpstream] = field(default_factory=dict)
    # Newest observation by upstream; it may be that a limit has ended.
    _observations: dict[str, ObservedLimit] = field(default_factory=dict)
    _unreported: dict[str, ObservedLimit] = field(default_factory=dict)
    _paused_until: dict[str, timedelta] = field(default_factory=dict)
    _absent_since: dict[str, timedelta] = field(default_factory=dict)

    @property
    def has_any(self) -> bool:
        """Whether any upstream has a limit."""
        return bool(self._limited)

    @property
    def rates_per_s(self) -> dict[str, float]:
        """Announced requests per second by upstream."""
        return {name: limited.rate_per_s for name, limited in self._limited.items()}

    def rate_per_s(self, name: str) -> float | None:
        """Return the announced requests per second of an upstream, or None without a limit."""
        limited = self._limited.get(name)
        return limited.rate_per_s if limited is not None else None

    def observe(self, name: str, rate_per_s: float | None, at: timedelta) -> None:
        """Record the limit in an upstream's answer at a time, or None if the answer named none."""
        if rate_per_s is None and name not in self._limited:
            return
        newest = self._observations.get(name)
        if newest is None or at >= newest.observed_at:
            observation = ObservedLimit(rate_per_s, at)
            self._observations[name] = self._unreported[name] = observation
            self._set(name, rate_per_s, at)

    def pause(self, name: str, duration: timedelta, now: timedelta) -> None:
        """Send an upstream nothing for a time, because it asked this instance for that."""
        until = now + duration
        if until > self._paused_until.get(name, now):
            if not self.remaining_pause(name, now):
                _log.info("upstream {} wants no request for {} s", name, duration.total_seconds())
            self._paused_until[name] = until

    def remaining_pause(self, name: str, now: timedelta) -> timedelta:
        """Return for how long an upstream wants no request; zero without a pause."""
        until = self._paused_until.get(name)
        if until is None:
            return timedelta()
        if until <= now:
            del self._paused_until[name]
            return timedelta()
        return until - now

    def collect_observations(self) -> dict[str, ObservedLimit]:
        """Return the newest observations since the last call, by upstream."""
        observations, self._unreported = self._unreported, {}
        return observations

    def apply(self, rates_per_s: Mapping[str, float], now: timedelta) -> None:
        """Apply the limits of all upstreams as the leader knows them."""
        for name in self._limited.keys() | rates_per_s.keys():
            newest = self._observations.get(name)
            if newest is None or now - newest.observed_at > OWN_OBSERVATION_LIFETIME:
                self._set(name, rates_per_s.get(name), now)

    def retain(self, names: Container[str], now: timedelta) -> None:
        """Remove the upstreams that have not been named for `ABSENCE_LIFETIME`.

        Registrations may lapse while an upstream runs, so absence ends neither a limit nor a pause.
        """
        self._paused_until = {n: until for n, until in self._paused_until.items() if until > now}
        known = self._limited.keys() | self._observations.keys()
        self._absent_since = {
            name: self._absent_since.get(name, now) for name in known if name not in names
        }
        for name, since in list(self._absent_since.items()):
            if now - since > ABSENCE_LIFETIME:
                for states in (
                    self._limited,
                    self._observations,
                    self._unreported,
                    self._absent_since,
                ):
                    states.pop(name, None)

    def is_share_too_small(self, name: str, instance_count: int) -> bool:
        """Return whether equal shares of a limit amount to less than one request at once."""
        limited = self._limited.get(name)
        return limited is not None and _burst(limited) < instance_count

    def withhold(self, name: str, now: timedelta) -> None:
        """Take all tokens of an upstream, because this instance needs permits for it."""
        limited = self._limited.get(name)
        if limited is not None:
            limited.tokens, limited.refilled_at = 0.0, now

    def may_send(self, name: str, share: float, now: timedelta) -> bool:
        """Return whether this instance may send a request to an upstream now.

        Parameters
        ----------
        name : str
        share : float
            Share of the announced rate that is this instance's, from 0 to 1.
        now : timedelta
        """
        limited = self._limited.get(name)
        return limited is None or self._refill(limited, share, now) >= 1.0

    def count_sent(self, name: str) -> None:
        """Count a request that is sent to an upstream."""
        limited = self._limited.get(name)
        if limited is not None:
            limited.tokens -= 1.0

    def _refill(self, limited: _LimitedUpstream, share: float, now: timedelta) -> float:
        capacity = max(1.0, share * _burst(limited))
        elapsed_s = (now - limited.refilled_at).total_seconds()
        limited.tokens += elapsed_s * _assumed_rate_per_s(limited) * USED_SHARE * share
        limited.tokens = min(limited.tokens, capacity)
        limited.refilled_at = now
        return limited.tokens

    def _set(self, name: str, rate_per_s: float | None, now: timedelta) -> None:
        limited = self._limited.get(name)
        if rate_per_s is None:
            if limited is not None:
                _log.info("upstream {} announces no limit any more", name)
                del self._limited[name]
        elif limited is None:
            _log.info("upstream {} takes {:g} requests a second", name, rate_per_s)
            self._limited[name] = _LimitedUpstream(rate_per_s, self.rng.random(), now)
        else:
            limited.rate_per_s = rate_per_s


def _assumed_rate_per_s(limited: _LimitedUpstream) -> float:
    return max(limited.rate_per_s, MIN_RATE_PER_S)


def _burst(limited: _LimitedUpstream) -> float:
    """Return how many requests all instances together may send at once."""
    return BURST_REQUESTS + BURST_DURATION_S * _assumed_rate_per_s(limited)
