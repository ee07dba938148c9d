"""`python -m bench.policies`: measure all policies, write tables and plots.

Results go to docs/results/policies.md and .json, with two plots beside them.
"""

import json
import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from enum import Enum
from itertools import product
from pathlib import Path
from typing import Final

from bench.policies._faults import FaultFigures, fault_names, measure_fault
from bench.policies._measure import Case, Figures, measure
from bench.policies._plots import plot_messages, plot_response
from bench.policies._shares import RushFigures, rush
from bench.policies._tables import (
    fault_table,
    figure_table,
    message_table,
    rush_table,
)
from cuminstack.slots import Preference

_CHOSEN: Final = 'leases'
_BASELINES: Final = ('local', 'random', 'round_robin', 'two_choices')
_LOADS: Final = (0.5, 0.7, 0.85, 0.95, 1.2)
_SIZES: Final = (1, 10, 50, 200)
#: Loads and sizes at which all policies are compared.
_COMPARED: Final = ((0.7, 1), (0.7, 50), (0.95, 50))
#: Where the two preferences differ most.
_PRESSED: Final = (0.95, 1)
_RUSH_SIZES: Final = (1, 10, 50)
_PROCESSES: Final = 8
_RESULTS: Final = Path(__file__).parents[2] / 'docs' / 'results'

_INTRODUCTION: Final = """\
# Dispatch policies, measured

Written by `python -m bench.policies`; edit nothing here by hand.

24 endpoints with 8 slots each, 9 instances, three availability zones, 0.5 ms
one way between any two processes; batch Poisson arrivals at random instances,
half from each of two members; lognormal run times, median 250 ms, sigma 0.8,
within 50 ms and 6 s; 6 s of arrivals, the first not counted; 5 seeds, jobs of
all pooled. Response and bound are over the ideal: a free slot at once for
each task. The bound is an omniscient central first-come queue over the same
arrivals and run times.

`leases, waste` is the policy for members that prefer fewer messages. Waste
counts refused starts and empty replies twice, for the message and its answer.
"""


def _cases() -> list[Case]:
    chosen = [Case(_CHOSEN, load, size) for load in _LOADS for size in _SIZES]
    baselines = [
        Case(name, *place) for name, place in product(_BASELINES, _COMPARED)
    ]
    sparing = [
        Case(_CHOSEN, load, size, Preference.waste)
        for load, size in (*_COMPARED, _PRESSED)
    ]
    return baselines + sparing + chosen


def _write(
    figures: list[Figures],
    rushes: list[RushFigures],
    faults: list[FaultFigures],
) -> None:
    _RESULTS.mkdir(parents=True, exist_ok=True)
    ordered = sorted(
        figures,
        key=lambda each: (each.case.load, each.case.tasks, each.case.name),
    )
    text = '\n'.join(
        (
            _INTRODUCTION,
            figure_table(ordered),
            message_table(ordered),
            rush_table(rushes),
            fault_table(faults),
        ),
    )
    (_RESULTS / 'policies.md').write_text(text)
    everything = {
        'figures': [asdict(each) for each in ordered],
        'rushes': [asdict(each) for each in rushes],
        'faults': [asdict(each) for each in faults],
    }
    plain = json.dumps(everything, indent=1, default=_plain)
    (_RESULTS / 'policies.json').write_text(f'{plain}\n')
    plot_response(ordered, _RESULTS / 'policies-response.png')
    plot_messages(ordered, _RESULTS / 'policies-messages.png')
    print(text)


def _plain(value: Enum) -> str:
    return str(value.value)


def main() -> None:
    """Measure, and write the results."""
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(_PROCESSES, mp_context=context) as pool:
        rushes = [pool.submit(rush, _CHOSEN, size) for size in _RUSH_SIZES]
        faults = [pool.submit(measure_fault, name) for name in fault_names()]
        figures = [pool.submit(measure, case) for case in _cases()]
        _write(
            [future.result() for future in figures],
            [future.result() for future in rushes],
            [future.result() for future in faults],
        )


if __name__ == '__main__':
    main()
