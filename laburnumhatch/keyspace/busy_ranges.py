"""Request rates of keys, of which neighbours may have become busy together.

Within a fraction of a second, each of many busy neighbours has had a few requests only. Taken
together they tell their rate well, while a single key's count doesn't.
"""

from collections.abc import Iterator, Mapping, Sequence
from statistics import fmean, variance

__all__ = ["current_rates"]

# Largest distance of two requested keys of one busy range. In 0.7 s, requests that are spread over
# all 65,536 keys are over a hundred keys apart.
MAX_GAP = 6
# Smallest number of requested keys and of requests of a busy range.
MIN_KEYS = 6
MIN_REQUESTS = 9.0


def current_rates(
    short_term: Mapping[int, float], short_window_s: float, long_term: Mapping[int, float]
) -> tuple[dict[int, float], bool]:
    """Return the requests per second by key, and whether there is a busy range.

    Rates of keys in busy ranges follow the short-term ones; the others are the long-term ones,
    which vary less by chance.

    Parameters
    ----------
    short_term, long_term : mapping of int to float
        Requests per second by key, measured over a short and a long window.
    short_window_s : float
        Length of the short window in seconds.
    """
    rates = dict(long_term)
    has_busy_range = False
    for keys in _runs(sorted(short_term)):
        requests = sum(short_term[key] for key in keys) * short_window_s
        if len(keys) < MIN_KEYS or requests < MIN_REQUESTS:
            continue
        has_busy_range = True
        rates.update(_smoothed(keys, short_term, short_window_s))
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
