"""Check every case of the specification of claims and print a table.

`python -m bench.claims_spec`; the exit code counts the wrong verdicts.
"""

import sys
import time

from spec.claims_cases import CASES, Case, check


def report(case: Case) -> bool:
    """Check a case, print a row, and tell whether the verdict is right."""
    begun = time.perf_counter()
    holds, states = check(case)
    took = time.perf_counter() - begun
    verdict = 'holds' if holds else 'refuted'
    row = (case.name.ljust(44), verdict.ljust(8), str(states).rjust(8))
    print(*row, 'states', str(round(took, 1)).rjust(6), 's', flush=True)
    return holds == case.holds


def main() -> None:
    """Check all cases."""
    verdicts = [report(case) for case in CASES]
    sys.exit(verdicts.count(False))


if __name__ == '__main__':
    main()
