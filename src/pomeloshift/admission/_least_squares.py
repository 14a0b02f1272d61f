"""Recursive least squares with three coefficients."""

import attrs

FORGETTING_FACTOR = 0.998
INITIAL_VARIANCE = 10.0
MAX_TRACE = 1e3

Vector = tuple[float, float, float]


@attrs.define
class LeastSquares:
    """Fits y = c . x with exponential forgetting of old samples.

    Old samples are forgotten only while new ones determine the fit. Otherwise a long
    run of equal samples would let the covariance grow without bound.
    """

    coefficients: Vector
    _covariance: tuple[Vector, Vector, Vector] = (
        (INITIAL_VARIANCE, 0.0, 0.0),
        (0.0, INITIAL_VARIANCE, 0.0),
        (0.0, 0.0, INITIAL_VARIANCE),
    )

    def predict(self, x: Vector) -> float:
        """Returns the fitted value at ``x``."""
        return _dot(self.coefficients, x)

    def observe(self, x: Vector, y: float) -> None:
        """Updates the coefficients with one sample."""
        a, b, c = self._covariance
        projected = (_dot(a, x), _dot(b, x), _dot(c, x))
        denominator = FORGETTING_FACTOR + _dot(projected, x)
        error = y - self.predict(x)
        gains = tuple(value / denominator for value in projected)
        c0, c1, c2 = self.coefficients
        self.coefficients = (
            c0 + gains[0] * error,
            c1 + gains[1] * error,
            c2 + gains[2] * error,
        )
        rows = tuple(
            _update_row(row, gain, projected)
            for row, gain in zip(self._covariance, gains, strict=True)
        )
        if rows[0][0] + rows[1][1] + rows[2][2] <= MAX_TRACE:
            self._covariance = (rows[0], rows[1], rows[2])


def _dot(u: Vector, w: Vector) -> float:
    return u[0] * w[0] + u[1] * w[1] + u[2] * w[2]


def _update_row(row: Vector, gain: float, projected: Vector) -> Vector:
    return (
        (row[0] - gain * projected[0]) / FORGETTING_FACTOR,
        (row[1] - gain * projected[1]) / FORGETTING_FACTOR,
        (row[2] - gain * projected[2]) / FORGETTING_FACTOR,
    )
