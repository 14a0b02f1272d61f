"""Recursive least squares with three coefficients."""

import attrs

FORGETTING = 0.998
FIRST_VARIANCE = 10.0
MAX_VARIANCE = 1e3

Vector = tuple[float, float, float]


@attrs.define
class LeastSquares:
    """Fits y = c . x, forgetting old samples slowly.

    Samples are forgotten only while new ones keep the fit determined, so that a long
    time of equal samples does not blow up the variance.
    """

    coefficients: Vector
    _rows: tuple[Vector, Vector, Vector] = (
        (FIRST_VARIANCE, 0.0, 0.0),
        (0.0, FIRST_VARIANCE, 0.0),
        (0.0, 0.0, FIRST_VARIANCE),
    )

    def predict(self, x: Vector) -> float:
        """Returns the fitted value at ``x``."""
        return _dot(self.coefficients, x)

    def observe(self, x: Vector, y: float) -> None:
        """Learns from one sample."""
        a, b, c = self._rows
        along = (_dot(a, x), _dot(b, x), _dot(c, x))
        denominator = FORGETTING + _dot(along, x)
        error = y - self.predict(x)
        gains = tuple(value / denominator for value in along)
        c0, c1, c2 = self.coefficients
        self.coefficients = (
            c0 + gains[0] * error,
            c1 + gains[1] * error,
            c2 + gains[2] * error,
        )
        rows = tuple(
            _shrink(row, gain, along)
            for row, gain in zip(self._rows, gains, strict=True)
        )
        if rows[0][0] + rows[1][1] + rows[2][2] <= MAX_VARIANCE:
            self._rows = (rows[0], rows[1], rows[2])


def _dot(u: Vector, w: Vector) -> float:
    return u[0] * w[0] + u[1] * w[1] + u[2] * w[2]


def _shrink(row: Vector, gain: float, along: Vector) -> Vector:
    return (
        (row[0] - gain * along[0]) / FORGETTING,
        (row[1] - gain * along[1]) / FORGETTING,
        (row[2] - gain * along[2]) / FORGETTING,
    )
