"""Model checking of the claim specification and its broken variants."""

import pytest
from spec.claims_cases import CASES, Case, check

QUICK = tuple(case for case in CASES if case.quick)


class TestSpecification:
    """Each quick case has its expected verdict within its bounds."""

    @pytest.mark.parametrize('case', QUICK, ids=lambda case: case.name)
    def test_verdict(self, case: Case) -> None:
        holds, states = check(case)
        assert holds == case.holds
        assert states > 1
