"""Fits the growth of a figure with size: curve, intervals, and its prediction for the largest size.

No input or output, no clock.  A figure is measured at four sizes or more.  The curves ``FORMS`` are fitted by
least squares (scipy.optimize.curve_fit) to all sizes but the largest, one is chosen, and its prediction
for the largest is compared with the measurement there.  The choice is by Akaike's criterion corrected for few
points (AICc; Burnham and Anderson 2002), or, where there are too few points for that, by the error at each
size of a fit to the others (leave one out).  Intervals are of 95%, by Student's t.
"""

from __future__ import annotations

import statistics
import warnings
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf, isfinite, log, log2, sqrt
from typing import Any

from scipy.optimize import OptimizeWarning, curve_fit
from scipy.stats import t as student_t

CONFIDENCE_LEVEL = 0.95
MIN_SIZES = 4  # three for the fit, and the largest
# Relative to the largest value.  Smaller residuals are rounding errors and are raised to this, so that no
# form is chosen for a smaller rounding error.
MIN_RELATIVE_RESIDUAL = 1e-9

Point = tuple[float, float]  # size, figure

FORMS: dict[str, Callable[[float], float]] = {
    "flat": lambda n: 0.0,
    "n": lambda n: n,
    "n log n": lambda n: n * log2(n),
    "n squared": lambda n: n * n,
}


@dataclass(slots=True, frozen=True)
class Fit:
    """``base + slope * form(n)``; ``_half`` is half the width of the parameter's interval."""

    form: str
    base: float
    base_half: float
    slope: float
    slope_half: float
    aicc: float  # infinite where there are too few points for it
    residual_deviation: float  # standard deviation of the residuals
    degrees_of_freedom: int  # degrees of freedom: points less parameters
    _covariance: tuple[tuple[float, float], tuple[float, float]]

    def at(self, n: float) -> float:
        """The fitted value at size ``n``."""
        return self.base + self.slope * FORMS[self.form](n)

    def half_at(self, n: float) -> float:
        """Half the width of the prediction interval for a new measurement at ``n``."""
        x = FORMS[self.form](n)
        (a, ab), (_, b) = self._covariance
        return float(student_t.ppf((1 + CONFIDENCE_LEVEL) / 2, self.degrees_of_freedom)) * sqrt(
            max(0.0, a + 2 * x * ab + x * x * b) + self.residual_deviation * self.residual_deviation
        )


@dataclass(slots=True, frozen=True)
class Verdict:
    """Growth of a figure: ``fit`` covers all sizes but the largest, ``full_fit`` all in the same form."""

    fit: Fit
    chosen_by: str  # "AICc" or "leave one out"
    full_fit: Fit
    largest: float
    predicted: float
    predicted_half: float
    measured: float  # median at the largest size
    error_percent: float  # of the prediction, relative to the measurement; infinite if that is 0
    plan_size: float
    extrapolated: float  # at size ``plan_size``, by ``full_fit``
    extrapolated_half: float


def fit_form(points: Sequence[Point], form: str) -> Fit:
    """Fit of one form; raises ValueError with fewer than three points."""
    parameters = 1 if form == "flat" else 2
    if len(points) < 3:
        raise ValueError(f"{len(points)} points: a fit needs three or more")
    curve = FORMS[form]
    # Scaled to at most 1, so that slope and base have the same order of magnitude in the solver.
    scale = max(abs(curve(n)) for n, _ in points) or 1.0
    xs, ys = [curve(n) / scale for n, _ in points], [y for _, y in points]

    def flat(x: Any, base: float) -> Any:
        return base + 0.0 * x

    def line(x: Any, base: float, slope: float) -> Any:
        return base + slope * x

    if not any(ys):  # the solver would return a denormal, relative to which any error is infinite
        return Fit(
            form, 0.0, 0.0, 0.0, 0.0, _aicc(0.0, 0.0, len(points), parameters), 0.0, len(points) - parameters,
            ((0.0, 0.0), (0.0, 0.0)),
        )

    with warnings.catch_warnings():  # points exactly on the curve have no covariance estimate
        warnings.simplefilter("ignore", OptimizeWarning)
        found, covariance = curve_fit(flat if parameters == 1 else line, _array(xs), _array(ys))
    if not isfinite(float(covariance[0][0])):
        covariance = [[0.0, 0.0], [0.0, 0.0]]
    base, slope = float(found[0]), float(found[1]) / scale if parameters == 2 else 0.0
    a = float(covariance[0][0])
    ab = float(covariance[0][1]) / scale if parameters == 2 else 0.0
    b = float(covariance[1][1]) / scale**2 if parameters == 2 else 0.0
    residual_square_sum = sum((y - base - slope * curve(n)) ** 2 for n, y in points)
    degrees_of_freedom = len(points) - parameters
    width = float(student_t.ppf((1 + CONFIDENCE_LEVEL) / 2, degrees_of_freedom))
    return Fit(
        form, base, width * sqrt(max(0.0, a)), slope, width * sqrt(max(0.0, b)),
        _aicc(residual_square_sum, max(map(abs, ys)), len(points), parameters),
        sqrt(residual_square_sum / degrees_of_freedom), degrees_of_freedom, ((a, ab), (ab, b)),
    )


def _array(values: Sequence[float]) -> Any:
    import numpy

    return numpy.array(values, dtype=float)


def _aicc(residual_square_sum: float, largest: float, count: int, parameters: int) -> float:
    """AICc of a least-squares fit; the residual variance counts as one more parameter."""
    k = parameters + 1
    floor = count * (MIN_RELATIVE_RESIDUAL * (largest or 1.0)) ** 2
    if count - k - 1 <= 0:
        return inf
    return count * log(max(residual_square_sum, floor) / count) + 2 * k + 2 * k * (k + 1) / (count - k - 1)


def cross_validation_error(points: Sequence[Point], form: str) -> float:
    """Mean square error at each size of a fit to the other sizes."""
    curve, errors = FORMS[form], []
    for size in {n for n, _ in points}:
        others = [(curve(n), y) for n, y in points if n != size]
        mean_x, mean_y = (statistics.fmean(values) for values in zip(*others, strict=True))
        variation = sum((x - mean_x) ** 2 for x, _ in others)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in others) / variation if variation else 0.0
        errors += [(y - mean_y - slope * (curve(n) - mean_x)) ** 2 for n, y in points if n == size]
    return max(statistics.fmean(errors), (MIN_RELATIVE_RESIDUAL * max(abs(y) for _, y in points)) ** 2)


def choose_fit(points: Sequence[Point]) -> tuple[Fit, str]:
    """The best fit and the rule that chose it; of equal forms the simplest, which is listed first."""
    fits = [fit_form(points, form) for form in FORMS]
    if all(fit.aicc < inf for fit in fits):
        return min(fits, key=lambda fit: fit.aicc), "AICc"
    return min(fits, key=lambda fit: cross_validation_error(points, fit.form)), "leave one out"


def judge(points: Sequence[Point], plan_size: float) -> Verdict:
    """Fit a figure and compare prediction and measurement; ValueError with fewer than ``MIN_SIZES`` sizes."""
    sizes = sorted({n for n, _ in points})
    if len(sizes) < MIN_SIZES:
        raise ValueError(f"{len(sizes)} sizes: {MIN_SIZES} or more are needed")
    largest = sizes[-1]
    fit, rule = choose_fit([point for point in points if point[0] < largest])
    full_fit = fit_form(points, fit.form)
    measured = statistics.median(y for n, y in points if n == largest)
    predicted = fit.at(largest)
    error = inf if predicted else 0.0
    if measured:
        error = 100.0 * (predicted - measured) / abs(measured)
    return Verdict(
        fit, rule, full_fit, largest, predicted, fit.half_at(largest), measured, error,
        plan_size, full_fit.at(plan_size), full_fit.half_at(plan_size),
    )
