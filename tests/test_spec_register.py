"""Model checking of the register specification and its broken variants."""

import pytest
from spec.register import FLAW_BOUNDS, SOUND_BOUNDS, Bounds, Flaw, check


class TestSound:
    """The protocol without a flaw satisfies the invariant."""

    @pytest.mark.parametrize('bounds', SOUND_BOUNDS[:3])
    def test_holds(self, bounds: Bounds) -> None:
        verdict = check(bounds)
        assert verdict.holds is True
        assert verdict.states > 1000


class TestFlaws:
    """Each flaw violates the invariant, so the check isn't vacuous."""

    @pytest.mark.parametrize('flaw', FLAW_BOUNDS)
    def test_has_a_counterexample(self, flaw: Flaw) -> None:
        verdict = check(FLAW_BOUNDS[flaw], flaw)
        assert verdict.holds is False
        assert verdict.trace

    @pytest.mark.parametrize('flaw', FLAW_BOUNDS)
    def test_sound_within_the_same_bounds(self, flaw: Flaw) -> None:
        assert check(FLAW_BOUNDS[flaw]).holds is True
