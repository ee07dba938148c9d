"""The specification of claims holds, and its broken variants don't."""

import pytest
from spec.claims_cases import CASES, Case, check

QUICK = tuple(case for case in CASES if case.quick)


class TestSpecification:
    """Exhaustive within the bounds of each case."""

    @pytest.mark.parametrize('case', QUICK, ids=lambda case: case.name)
    def test_verdict(self, case: Case) -> None:
        holds, states = check(case)
        assert holds == case.holds
        assert states > 1
