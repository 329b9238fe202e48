"""Request rates of keys, of which neighbours may have become busy together.

Within a fraction of a second, each of many busy neighbours has had a few requests only. Taken
together they tell their rate well, while a single key's count doesn't.
"""

from collections.abc import Iterator, Mapping, Sequence
from statistics import fmean, variance

__all__ = ["current_rates"]

# Largest distance of two requested keys of one busy range. In 0.7 s, requests that are spread over
# all 65,536 keys are over a hundred keys apart.
MAX_GAP = 16
# Smallest number of requested keys and of requests of a busy range. A single key with that many
# requests counts by its short-term rate, too.
MIN_KEYS = 6
MIN_REQUESTS = 9.0
# Smallest ratio of the requests for each key of a busy range to those for each key of the service.
MIN_DENSITY_RATIO = 4.0
KEY_COUNT = 65_536
# Largest share of the short-term rate that is taken to be still missing after a sudden rise.
MAX_MISSING_SHARE = 0.75


def current_rates(
    short_term: Mapping[int, float],
    short_window_s: float,
    long_term: Mapping[int, float],
    half_short_term: Mapping[int, float],
) -> tuple[dict[int, float], bool]:
    """Return the requests per second by key, and whether there is a busy range.

    Rates of busy keys and of keys in busy ranges follow the short-term ones; the others are the
    long-term ones, which vary less by chance.

    Parameters
    ----------
    short_term, long_term : mapping of int to float
        Requests per second by key, measured over a short and a long window.
    short_window_s : float
        Length of the short window in seconds.
    half_short_term : mapping of int to float
        Requests per second by key, decayed with half of the short half-life.
    """
    rates = dict(long_term)
    for key, rate in short_term.items():
        if rate * short_window_s >= MIN_REQUESTS:
            present_share = 1.0 - _missing_share(rate, half_short_term.get(key, 0.0))
            rates[key] = max(rate / present_share, rates.get(key, 0.0))
    has_busy_range = False
    min_density = MIN_DENSITY_RATIO * sum(short_term.values()) / KEY_COUNT
    for keys in _runs(sorted(short_term)):
        total = sum(short_term[key] for key in keys)
        is_dense = total / (keys[-1] - keys[0] + 1) >= min_density
        if len(keys) < MIN_KEYS or total * short_window_s < MIN_REQUESTS or not is_dense:
            continue
        has_busy_range = True
        smoothed = _smoothed(keys, short_term, short_window_s)
        present_share = 1.0 - _missing_share(
            total, sum(half_short_term.get(key, 0.0) for key in keys)
        )
        rates.update((key, rate / present_share) for key, rate in smoothed.items())
    return rates, has_busy_range


def _runs(keys: Sequence[int]) -> Iterator[list[int]]:
    """Return the keys in groups without larger gaps than `MAX_GAP`."""
    run: list[int] = []
    for key in keys:
        if run and key - run[-1] > MAX_GAP:
            yield run
            run = []
        run.append(key)
    if run:
        yield run


def _missing_share(rate: float, half_window_rate: float) -> float:
    """Return the share of a suddenly risen rate that a decayed count doesn't show yet.

    After the time T, a count with the half-life H shows ``1 - x`` of it, where
    ``x = 2 ** (-T / H)``, and one with half of that half-life ``1 - x ** 2``, so the ratio of the
    second to the first is ``1 + x``.
    """
    return min(max(half_window_rate / rate - 1.0, 0.0), MAX_MISSING_SHARE)


def _smoothed(
    keys: Sequence[int], short_term: Mapping[int, float], window_s: float
) -> dict[int, float]:
    """Return the rates of all keys from the first to the last, moved towards their mean.

    The counts of keys with equal rates vary as much as their mean (Poisson). What they vary beyond
    that is due to the keys.
    """
    counts = [short_term.get(key, 0.0) * window_s for key in range(keys[0], keys[-1] + 1)]
    mean = fmean(counts)
    chance_share = min(mean / max(variance(counts, mean), 1e-9), 1.0)
    return {
        key: (count + (mean - count) * chance_share) / window_s
        for key, count in enumerate(counts, keys[0])
    }
