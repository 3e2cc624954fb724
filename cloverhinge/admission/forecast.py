"""How many sessions will have left by when: life tables by class, and curves over what stands.  Free of I/O.

A life table counts ends and exposure by age, so sessions that still play count for what they have lasted (the
actuarial estimate for censored data; Cutler and Ederer 1958).  Ages are measured in lengths: the hint that
came with the request, else the mean learned for its class.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from math import exp, expm1

HORIZONS_MS = (250.0, 500.0, 1000.0, 2000.0, 4000.0, 8000.0, 16000.0, 32000.0, 64000.0, 128000.0)
BINS, BINS_PER_LENGTH = 24, 8  # ages up to three lengths; what lasts longer keeps the last bin's hazard
PRIOR_EXPOSURE = 0.25  # lengths lived that a bin is taken to have seen, at the prior's hazard
PRIOR_HAZARD_SLOPE = (
    1.57  # a length: the prior's hazard rises so with age, as calls have a usual length (Weibull of
)
# shape 2 and a mean of one length: hazard pi / 2 a length)
MAX_ENDS = 512.0  # ends of a class at which its table is halved: what was learned follows the day
DEFAULT_MEAN_MS = 60_000.0  # length taken for a class without hints until sessions have ended
MAX_SAMPLE = 128  # sessions looked at for one curve; of more, every n-th


class LifeTable:
    """What is learned of how long sessions of one class last."""

    def __init__(self) -> None:
        self.ends = [0.0] * BINS
        self.exposure = [0.0] * BINS  # in lengths
        self.ended_count, self.ended_total_ms = 0.0, 0.0
        self._sums: list[float] | None = None

    def length_ms(self, hint_ms: float) -> float:
        """The unit of age: the hint, else the mean time from start to end that was seen."""
        if hint_ms > 0:
            return hint_ms
        return (
            self.ended_total_ms / self.ended_count
            if self.ended_count and self.ended_total_ms > 0
            else DEFAULT_MEAN_MS
        )

    def record_end(self, age_ms: float, hint_ms: float) -> None:
        """A session ended at this age."""
        self.ended_count += 1.0  # first, or the first without a hint would be measured by a guess
        self.ended_total_ms += age_ms
        age, length = age_ms / self.length_ms(hint_ms), 1.0 / BINS_PER_LENGTH
        last = min(int(age * BINS_PER_LENGTH), BINS - 1)
        for at in range(last):
            self.exposure[at] += length
        self.exposure[last] += max(0.0, age - last * length)
        self.ends[last] += 1.0
        if self.ended_count >= MAX_ENDS:
            self.ended_count, self.ended_total_ms = self.ended_count / 2, self.ended_total_ms / 2
            self.ends = [x / 2 for x in self.ends]
            self.exposure = [x / 2 for x in self.exposure]
        self._sums = None

    def cumulative_hazards(self, playing: Sequence[float] = (), weight: float = 1.0) -> list[float]:
        """The cumulative hazard at the start of each bin, and at the end of the last; kept until `stale`.

        `playing` holds ages, in lengths, of sessions that have not ended, each standing for `each` of them:
        their exposure counts, or early ends would pass for all.
        """
        if self._sums is None:
            exposure, length = list(self.exposure), 1.0 / BINS_PER_LENGTH
            for age in playing:
                last = min(int(age * BINS_PER_LENGTH), BINS - 1)
                for at in range(last):
                    exposure[at] += length * weight
                exposure[last] += max(0.0, age - last * length) * weight
            sums = [0.0]
            for at, (ends, lived) in enumerate(zip(self.ends, exposure, strict=True)):
                prior = PRIOR_EXPOSURE * PRIOR_HAZARD_SLOPE * (at + 0.5) * length
                sums.append(sums[-1] + (ends + prior) / (lived + PRIOR_EXPOSURE) * length)
            self._sums = sums
        return self._sums

    def invalidate(self) -> None:
        self._sums = None


def cumulative_hazard(sums: Sequence[float], age: float) -> float:
    """The cumulative hazard up to an age in lengths; past the table, at its last bin's."""
    at = age * BINS_PER_LENGTH
    if at >= BINS:
        return sums[BINS] + (at - BINS) * (sums[BINS] - sums[BINS - 1])
    whole = int(at)
    return sums[whole] + (at - whole) * (sums[whole + 1] - sums[whole])


class DepartureCurve:
    """Departures expected within times from one moment on; straight lines between the horizons."""

    def __init__(self, counts: Sequence[float], playing: int) -> None:
        self.counts, self.playing = list(counts), playing
        last = HORIZONS_MS[-1] - HORIZONS_MS[-2]
        self.slope = max((self.counts[-1] - self.counts[-2]) / last, 1e-9)  # a ms, past the last horizon

    def within(self, ms: float) -> float:
        if ms >= HORIZONS_MS[-1]:
            return self.counts[-1] + (ms - HORIZONS_MS[-1]) * self.slope
        at = bisect_left(HORIZONS_MS, ms)
        low_ms, low = (HORIZONS_MS[at - 1], self.counts[at - 1]) if at else (0.0, 0.0)
        return low + (ms - low_ms) / (HORIZONS_MS[at] - low_ms) * (self.counts[at] - low)


def lifetime_moments(sums: Sequence[float]) -> tuple[float, float]:
    """Mean and second moment of lives, in lengths: integrals over the survival function, tail included."""
    width, mean, second = 1.0 / BINS_PER_LENGTH, 0.0, 0.0
    for at in range(BINS):
        lived = (exp(-sums[at]) + exp(-sums[at + 1])) / 2 * width
        mean += lived
        second += 2 * (at + 0.5) * width * lived
    tail, rate = exp(-sums[BINS]), max((sums[BINS] - sums[BINS - 1]) / width, 1e-6)
    return mean + tail / rate, second + 2 * tail * (BINS * width / rate + 1 / rate**2)


def departure_curve(standing: Sequence[tuple[float, float, Sequence[float]]]) -> DepartureCurve:
    """Of sessions told as (age in ms, length in ms, hazard sums of their class).

    Room that is left is taken again, and left again: later departures follow from renewal theory (Cox 1962,
    4.2), the expected renewals s / mean + (variance / mean^2 - 1) / 2 after a time s that is not short.
    Newcomers are not like those who stand, among whom long ones are too many: each counts by 1 / length.
    """
    step = max(1, -(-len(standing) // MAX_SAMPLE))
    looked = standing[::step]
    scale = len(standing) / len(looked) if looked else 0.0
    counts = [0.0] * len(HORIZONS_MS)
    mean_ms, second, weights = 0.0, 0.0, sum(1.0 / length_ms for _, length_ms, _ in looked)
    moments = {at: lifetime_moments(sums) for at, sums in {id(x[2]): x[2] for x in looked}.items()}
    for age_ms, length_ms, sums in looked:
        now = cumulative_hazard(sums, age_ms / length_ms)
        for at, ms in enumerate(HORIZONS_MS):
            counts[at] -= expm1(now - cumulative_hazard(sums, (age_ms + ms) / length_ms))
        mean, square = moments[id(sums)]
        mean_ms += mean / weights
        second += square * length_ms / weights
    if looked:
        offset = (second / mean_ms**2 - 2) / 2
        first = [0.0, *counts]
        middles = [(low + high) / 2 for low, high in zip((0.0, *HORIZONS_MS), HORIZONS_MS, strict=False)]
        for at, ms in enumerate(HORIZONS_MS):
            for earlier in range(at + 1):
                again = (ms - middles[earlier]) / mean_ms + offset
                counts[at] += (first[earlier + 1] - first[earlier]) * max(0.0, again)
    return DepartureCurve([count * scale for count in counts], len(standing))
