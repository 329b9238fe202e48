"""Tests of the measurement of load."""

from datetime import timedelta

import numpy as np
import pytest

from ..load import LoadMeter, merge_load_reports


def test_load_is_the_work_a_second_and_decays(clock):
    meter = LoadMeter(clock=clock, slot_count=8)
    for _ in range(60):
        meter.record(slot=3, key_hash=1, work=0.2)
        clock.advance(timedelta(seconds=1))
        report = meter.report()
    assert report.slots[3] == pytest.approx(0.2, rel=0.06)
    for _ in range(120):
        clock.advance(timedelta(seconds=1))
        meter.report()
    assert meter.report().slots.get(3, 0.0) < 0.001


def test_hottest_keys_are_reported_among_many(clock):
    generator = np.random.default_rng(5)
    meters = [LoadMeter(clock=clock, slot_count=64) for _ in range(3)]
    exact = {}
    for i, key in enumerate(generator.zipf(1.3, size=30_000) % 2**40):
        meters[i % 3].record(slot=int(key) % 64, key_hash=int(key), work=1.0)
        exact[int(key)] = exact.get(int(key), 0) + 1
    clock.advance(timedelta(seconds=1))
    merged = merge_load_reports([meter.report() for meter in meters])
    hottest = sorted(exact, key=exact.get, reverse=True)[:10]
    assert set(hottest) <= set(merged.keys)
    assert all(load <= exact[key] for key, load in merged.keys.items())
    assert sum(merged.slots.values()) == pytest.approx(30_000)


def test_only_key_of_a_slot_has_the_load_of_the_slot(clock):
    meter = LoadMeter(clock=clock, slot_count=8)
    for _ in range(5):
        meter.record(slot=3, key_hash=1, work=0.2)
        clock.advance(timedelta(seconds=1))
        report = meter.report()
        assert report.keys[1] == pytest.approx(report.slots[3])
