"""Lines through measured points."""

import pytest
from bench._slope import Slope, line


class TestSlope:
    """The line of least squares, and how far points are from it."""

    def test_exact(self) -> None:
        slope = line('a', 'task', 'us', (1, 10, 50), lambda at: 3 * at + 7)
        assert slope.slope == pytest.approx(3)
        assert slope.base == pytest.approx(7)
        assert slope.misfit == pytest.approx(0)

    def test_misfit(self) -> None:
        slope = Slope('a', 'task', 'us', ((0, 0), (1, 4), (2, 0)))
        assert slope.slope == pytest.approx(0)
        assert slope.misfit == pytest.approx(2 / 3)

    def test_nothing_measured(self) -> None:
        slope = Slope('a', 'task', 'us', ((1, 0), (2, 0), (3, 0)))
        assert slope.misfit == 0
