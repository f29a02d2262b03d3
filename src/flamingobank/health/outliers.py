"""Distinguish a bad server from a cause that all servers of a service share."""

import math
import statistics
from collections.abc import Sequence

from flamingobank.health.evidence import (
    FAILURE_RATE_FLOOR,
    SLOW_RATE_FLOOR,
    Baseline,
    Cause,
    Finding,
    OutlierVerdict,
    ServerSummary,
    clamp_rate,
)

# Generalized log-likelihood ratio at which a server differs from its peers. It is
# lower than FAILURE_LLR because a summary also includes work from before the change.
OUTLIER_LLR = 9.0
# The mean log latency ratio of a slow outlier must exceed that of its peers by at
# least this much. A server with four stuck slots and 12 normal pieces of work reaches
# only 0.29, so a minimum above that would not detect it.
LOG_LATENCY_GAP_MIN = 0.1
# The rate of an outlier must exceed that of its peers by at least this much. If all
# servers fail nearly all of their work, ejecting one gains nothing.
RATE_GAP_MIN = 0.1
PEERS_MIN = 2
PEER_OUTCOMES_MIN = 8
# Number of standard errors added to the median of the peers' rates, because the median
# is uncertain if the rates come from only a few outcomes.
PEER_RATE_STANDARD_ERRORS = 2.0
# Ratio of the standard error of a median to that of a mean.
MEDIAN_ERROR_RATIO = 1.25
# Time for which a baseline derived from a common cause applies.
BASELINE_VALID_S = 30.0


def judge_outlier(own: ServerSummary, peers: Sequence[ServerSummary]) -> OutlierVerdict:
    """Compare a suspect with the median of its peers and with its normal peers.

    The median stays at the rate of the good servers while fewer than half of the
    peers are bad.
    """
    usable = [peer for peer in peers if _is_usable(peer)]
    total = sum(peer.n for peer in usable)
    if not _is_usable(own) or len(usable) < PEERS_MIN or total < PEER_OUTCOMES_MIN:
        return OutlierVerdict(Finding.TOO_LITTLE_EVIDENCE)
    failures = _compare_rates(
        Cause.FAILURES,
        (own.failures, own.n),
        [(peer.failures, peer.n) for peer in usable],
        FAILURE_RATE_FLOOR,
    )
    latency = _compare_rates(
        Cause.LATENCY,
        (own.slow, own.n),
        [(peer.slow, peer.n) for peer in usable],
        SLOW_RATE_FLOOR,
    )
    gap = own.log_mean - statistics.median(peer.log_mean for peer in usable)
    if failures.finding is Finding.OUTLIER:
        return failures
    if latency.finding is Finding.OUTLIER and gap >= LOG_LATENCY_GAP_MIN:
        return latency
    worse = max(failures, latency, key=lambda verdict: verdict.own_rate)
    return OutlierVerdict(
        Finding.COMMON_CAUSE,
        worse.cause,
        worse.own_rate,
        worse.peer_rate,
        worse.strength,
    )


def derive_baseline(peers: Sequence[ServerSummary], now: float) -> Baseline:
    """Return a temporary baseline with the median rates of the peers."""
    usable = [peer for peer in peers if _is_usable(peer)]
    if not usable:
        return Baseline(deadline=now)
    failure_rate = statistics.median(peer.failures / peer.n for peer in usable)
    slow_rate = statistics.median(peer.slow / peer.n for peer in usable)
    return Baseline(
        clamp_rate(failure_rate, FAILURE_RATE_FLOOR),
        clamp_rate(slow_rate, SLOW_RATE_FLOOR),
        now + BASELINE_VALID_S,
    )


def _is_usable(summary: ServerSummary) -> bool:
    """Return whether the counts received from another node are consistent."""
    return (
        summary.n > 0
        and 0 <= summary.failures <= summary.n
        and 0 <= summary.slow <= summary.n
        and math.isfinite(summary.log_sum)
    )


def _compare_rates(
    cause: Cause, own: tuple[int, int], peers: list[tuple[int, int]], floor: float
) -> OutlierVerdict:
    """Compare the (events, outcomes) counts of a suspect with those of its peers."""
    own_rate = own[0] / own[1]
    median = statistics.median(events / n for events, n in peers)
    total = sum(n for _, n in peers)
    peer_rate = clamp_rate(
        max(
            median
            + PEER_RATE_STANDARD_ERRORS
            * MEDIAN_ERROR_RATIO
            * _compute_standard_error(median, total),
            _compute_pooled_rate(peers, clamp_rate(median, floor)),
        ),
        floor,
    )
    strength = _compute_llr(own, peer_rate)
    outlier = strength >= OUTLIER_LLR and own_rate - median >= RATE_GAP_MIN
    finding = Finding.OUTLIER if outlier else Finding.COMMON_CAUSE
    return OutlierVerdict(finding, cause, own_rate, peer_rate, strength)


def _compute_pooled_rate(peers: list[tuple[int, int]], median: float) -> float:
    """Return the pooled rate of the peers that are not outliers themselves.

    The median alone is not enough: with only a few outcomes per peer it is zero up
    to a true rate of a tenth.
    """
    normal = [peer for peer in peers if _compute_llr(peer, median) < OUTLIER_LLR]
    total = sum(n for _, n in normal)
    if not total:
        return median
    rate = sum(events for events, _ in normal) / total
    return rate + _compute_standard_error(rate, total)


def _compute_standard_error(rate: float, n: int) -> float:
    """Return the standard error of a rate."""
    return math.sqrt(rate * (1.0 - rate) / n)


def _compute_llr(counts: tuple[int, int], reference: float) -> float:
    """Return the generalized log-likelihood ratio of a rate above the reference."""
    rate = counts[0] / counts[1]
    return (
        counts[1] * _compute_kl_divergence(rate, reference) if rate > reference else 0.0
    )


def _compute_kl_divergence(rate: float, reference: float) -> float:
    """Return the Kullback-Leibler divergence of two Bernoulli distributions."""
    divergence = rate * math.log(rate / reference) if rate > 0.0 else 0.0
    if rate < 1.0:
        divergence += (1.0 - rate) * math.log((1.0 - rate) / (1.0 - reference))
    return divergence
