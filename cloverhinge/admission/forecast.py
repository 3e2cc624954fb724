"""Forecasts of session ends: life tables by class, and departure curves of the sessions that play.

Free of I/O.  A life table counts ends and exposure by age, so sessions that still play count with their age
so far (the actuarial estimate for censored data; Cutler and Ederer 1958).  Ages are measured in lengths: the
expected length that came with the request, else the mean observed for its class.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from math import exp, expm1

HORIZONS_MS = (250.0, 500.0, 1000.0, 2000.0, 4000.0, 8000.0, 16000.0, 32000.0, 64000.0, 128000.0)
BINS, BINS_PER_LENGTH = 24, 8  # ages up to three lengths; beyond them, the last bin's hazard applies
PRIOR_EXPOSURE = 0.25  # lengths of exposure at the prior's hazard that each bin starts with
# The prior's hazard rises by this per length of age, as sessions have a usual length: a Weibull distribution
# of shape 2 with a mean of one length has a hazard of pi / 2 times the age.
PRIOR_HAZARD_SLOPE = 1.57
MAX_ENDS = 512.0  # ends of a class at which its table is halved, to follow changes over the day
MIN_LENGTH_MS = 1.0  # shorter lengths count as this one, so that quotients of lengths stay finite
DEFAULT_MEAN_MS = 60_000.0  # length assumed for a class without hints until sessions have ended
MAX_SAMPLE = 128  # sessions used for one curve; of more, every n-th


class LifeTable:
    """Observed lengths of the sessions of one class."""

    def __init__(self) -> None:
        self.ends = [0.0] * BINS
        self.exposure = [0.0] * BINS  # in lengths
        self.ended_count, self.ended_total_ms = 0.0, 0.0
        self._sums: list[float] | None = None

    def length_ms(self, hint_ms: float) -> float:
        """The unit of age: the hint if it is above 0, else the observed mean length, in ms.

        At least `MIN_LENGTH_MS`.
        """
        if hint_ms > 0:
            return max(hint_ms, MIN_LENGTH_MS)
        if self.ended_count and self.ended_total_ms > 0:
            return max(self.ended_total_ms / self.ended_count, MIN_LENGTH_MS)
        return DEFAULT_MEAN_MS

    def record_end(self, age_ms: float, hint_ms: float) -> None:
        """Count a session that ended at an age."""
        # Before `length_ms`, so that a first session without a hint is measured by its own age.
        self.ended_count += 1.0
        self.ended_total_ms += age_ms
        age, length = age_ms / self.length_ms(hint_ms), 1.0 / BINS_PER_LENGTH
        last = min(int(age * BINS_PER_LENGTH), BINS - 1)
        for index in range(last):
            self.exposure[index] += length
        self.exposure[last] += max(0.0, age - last * length)
        self.ends[last] += 1.0
        if self.ended_count >= MAX_ENDS:
            self.ended_count, self.ended_total_ms = self.ended_count / 2, self.ended_total_ms / 2
            self.ends = [x / 2 for x in self.ends]
            self.exposure = [x / 2 for x in self.exposure]
        self._sums = None

    def cumulative_hazards(self, playing: Sequence[float] = (), weight: float = 1.0) -> list[float]:
        """Cumulative hazard at the start of each bin and at the end of the last; cached until `invalidate`.

        `playing` contains ages, in lengths, of a sample of the sessions that have not ended; each represents
        `weight` sessions.  Without their exposure, sessions that end early would count as typical.
        """
        if self._sums is None:
            exposure, length = list(self.exposure), 1.0 / BINS_PER_LENGTH
            for age in playing:
                last = min(int(age * BINS_PER_LENGTH), BINS - 1)
                for index in range(last):
                    exposure[index] += length * weight
                exposure[last] += max(0.0, age - last * length) * weight
            sums = [0.0]
            for index, (ends, lived) in enumerate(zip(self.ends, exposure, strict=True)):
                prior = PRIOR_EXPOSURE * PRIOR_HAZARD_SLOPE * (index + 0.5) * length
                sums.append(sums[-1] + (ends + prior) / (lived + PRIOR_EXPOSURE) * length)
            self._sums = sums
        return self._sums

    def invalidate(self) -> None:
        """Discard the cached hazards."""
        self._sums = None


def cumulative_hazard(sums: Sequence[float], age: float) -> float:
    """Cumulative hazard up to an age in lengths; beyond the table, at the hazard of the last bin."""
    position = age * BINS_PER_LENGTH
    if position >= BINS:
        return sums[BINS] + (position - BINS) * (sums[BINS] - sums[BINS - 1])
    whole = int(position)
    return sums[whole] + (position - whole) * (sums[whole + 1] - sums[whole])


class DepartureCurve:
    """Expected departures by time from now on, interpolated linearly between the horizons.

    `counts` has one value for each of HORIZONS_MS; `playing` is the number of sessions that play now.
    """

    def __init__(self, counts: Sequence[float], playing: int) -> None:
        self.counts, self.playing = list(counts), playing
        last = HORIZONS_MS[-1] - HORIZONS_MS[-2]
        self.slope = max((self.counts[-1] - self.counts[-2]) / last, 1e-9)  # per ms, beyond the last horizon

    def within(self, ms: float) -> float:
        """Expected number of departures within `ms` from now."""
        if ms >= HORIZONS_MS[-1]:
            return self.counts[-1] + (ms - HORIZONS_MS[-1]) * self.slope
        index = bisect_left(HORIZONS_MS, ms)
        low_ms, low = (HORIZONS_MS[index - 1], self.counts[index - 1]) if index else (0.0, 0.0)
        return low + (ms - low_ms) / (HORIZONS_MS[index] - low_ms) * (self.counts[index] - low)


def lifetime_moments(sums: Sequence[float]) -> tuple[float, float]:
    """Mean and second moment of session lengths, in lengths, from the survival function with its tail."""
    width, mean, second = 1.0 / BINS_PER_LENGTH, 0.0, 0.0
    for index in range(BINS):
        lived = (exp(-sums[index]) + exp(-sums[index + 1])) / 2 * width
        mean += lived
        second += 2 * (index + 0.5) * width * lived
    tail, rate = exp(-sums[BINS]), max((sums[BINS] - sums[BINS - 1]) / width, 1e-6)
    return mean + tail / rate, second + 2 * tail * (BINS * width / rate + 1 / rate**2)


def departure_curve(playing: Sequence[tuple[float, float, Sequence[float]]]) -> DepartureCurve:
    """Departures of sessions given as (age in ms, length in ms, cumulative hazards of their class).

    Capacity that a departure frees is used again, and freed again.  These later departures follow from
    renewal theory (Cox 1962, 4.2): after a time s that is not short, s / mean + (variance / mean^2 - 1) / 2
    renewals are expected.  Long sessions are more frequent among those that play than among new ones, so each
    counts by 1 / length in these moments.  Lengths are `MIN_LENGTH_MS` or more, as by `LifeTable.length_ms`.
    """
    step = max(1, -(-len(playing) // MAX_SAMPLE))
    sample = playing[::step]
    scale = len(playing) / len(sample) if sample else 0.0
    counts = [0.0] * len(HORIZONS_MS)
    mean_ms, second, weights = 0.0, 0.0, sum(1.0 / length_ms for _, length_ms, _ in sample)
    moments = {key: lifetime_moments(sums) for key, sums in {id(x[2]): x[2] for x in sample}.items()}
    for age_ms, length_ms, sums in sample:
        hazard_now = cumulative_hazard(sums, age_ms / length_ms)
        for index, ms in enumerate(HORIZONS_MS):
            counts[index] -= expm1(hazard_now - cumulative_hazard(sums, (age_ms + ms) / length_ms))
        mean, square = moments[id(sums)]
        mean_ms += mean / weights
        second += square * length_ms / weights
    if sample:
        offset = (second / mean_ms**2 - 2) / 2
        first = [0.0, *counts]
        middles = [(low + high) / 2 for low, high in zip((0.0, *HORIZONS_MS), HORIZONS_MS, strict=False)]
        for index, ms in enumerate(HORIZONS_MS):
            for earlier in range(index + 1):
                renewals = (ms - middles[earlier]) / mean_ms + offset
                counts[index] += (first[earlier + 1] - first[earlier]) * max(0.0, renewals)
    return DepartureCurve([count * scale for count in counts], len(playing))
