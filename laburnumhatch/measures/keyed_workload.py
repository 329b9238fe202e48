"""Workload of requests for keys of skewed popularity."""

from dataclasses import dataclass

import numpy as np

from ..routing.slots import hash_key, slot_of_hash

__all__ = ["KeyedWorkload", "make_keyed_workload"]

KEY_COUNT = 20_000
SLOT_COUNT = 1024
SKEW_EXPONENT = 0.9
HOT_KEY_COUNT = 29


@dataclass
class KeyedWorkload:
    """Keys and their shares of the requests.

    Attributes
    ----------
    generator : numpy.random.Generator
    hashes : list of int
        Hash of each key.
    slots : numpy.ndarray of int
        Slot of each key.
    shares : numpy.ndarray of float
        Share of the requests that are for each key.
    """

    generator: np.random.Generator
    hashes: list[int]
    slots: np.ndarray
    shares: np.ndarray

    def draw(self, count: int) -> np.ndarray:
        """Return the indices of the keys of `count` random requests."""
        bounds = np.cumsum(self.shares)
        drawn = self.generator.random(count) * bounds[-1]
        return np.searchsorted(bounds, drawn, side="right")

    def change_hottest_keys(self) -> None:
        """Exchange the shares of the hottest keys with those of random other keys."""
        hottest = np.argsort(self.shares)[-HOT_KEY_COUNT:]
        others = np.setdiff1d(np.arange(len(self.shares)), hottest)
        chosen = self.generator.choice(others, HOT_KEY_COUNT, replace=False)
        self.shares[hottest], self.shares[chosen] = self.shares[chosen], self.shares[hottest]


def make_keyed_workload(generator: np.random.Generator) -> KeyedWorkload:
    """Return a workload whose shares follow Zipf's law, a power of the rank of the key."""
    hashes = [hash_key("measure", f"key-{i}") for i in range(KEY_COUNT)]
    slots = np.array([slot_of_hash(key_hash, SLOT_COUNT) for key_hash in hashes])
    ranks = generator.permutation(KEY_COUNT) + 1.0
    shares = ranks**-SKEW_EXPONENT
    return KeyedWorkload(generator, hashes, slots, shares / shares.sum())
