"""Model checking of evacuation orders and their broken variants."""

import pytest
from spec.evacuation import FLAW_BOUNDS, SOUND_BOUNDS, Bounds, Flaw, check


class TestSound:
    """Acknowledged orders outlast changes, a lost disk and new replicas."""

    @pytest.mark.parametrize('bounds', SOUND_BOUNDS)
    def test_holds(self, bounds: Bounds) -> None:
        verdict = check(bounds)
        assert verdict.holds is True
        assert verdict.states > 500


class TestFlaws:
    """Each flaw violates the invariant, so the check isn't vacuous."""

    @pytest.mark.parametrize('flaw', FLAW_BOUNDS)
    def test_has_a_counterexample(self, flaw: Flaw) -> None:
        verdict = check(FLAW_BOUNDS[flaw], flaw)
        assert verdict.holds is False
        assert verdict.trace
