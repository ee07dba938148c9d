"""`python -m bench.pool.cost`: what the dispatcher's decisions cost.

Plays the load of the largest sites on simulated workers and prints the
processor time spent in the dispatcher, by event, and a digest of all that it
decided.  Two versions that decide alike have the same digest.
"""

import cProfile
import hashlib
import pstats
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

import fire

from bench.pool._mix import arrivals
from bench.pool._world import PoolWorld
from cuminstack.pool import Dispatcher, JobRefused, LogEvent, StartRun

_ENDPOINTS: Final = 176
_CORES_OF_ENDPOINT: Final = 64_000
#: Work of 420 jobs a second against what the endpoints can do.
_NORMAL_LOAD: Final = 0.673
#: Seconds until the pool is as full as it gets, and those that count.
_BEFORE: Final = 1.5
_SECONDS: Final = 3.0
_LOST_SHARE: Final = 3
_ORDER: Final = 'useful-first'
_SHOWN: Final = 25
#: Digits of seconds that two versions have to agree on.
_DIGITS: Final = 6
_MICRO: Final = 1e6
_EVENTS: Final = (
    'submit',
    'hold_answered',
    'start_answered',
    'tick',
    'observe',
    'unanswered',
    'start_refused',
    'hold_refused',
)


@dataclass(frozen=True, slots=True)
class Scene:
    """A load.

    Args:
        load: As a multiple of the normal one.
        has_loss: Whether a third of the endpoints is lost.
    """

    load: float
    has_loss: bool


_SCENES: Final = (
    Scene(1, has_loss=False),
    Scene(1.8, has_loss=False),
    Scene(1, has_loss=True),
    Scene(1.8, has_loss=True),
)


class Meter:
    """Takes the processor time of events, and what they decided.

    Args:
        profile: Gathers a profile of the events, if any.
    """

    def __init__(self, profile: cProfile.Profile | None) -> None:
        self._profile = profile
        self._digest = hashlib.sha256()
        self.clear()

    def clear(self) -> None:
        """Begin to count; the digest goes on."""
        self.seconds: defaultdict[str, float] = defaultdict(float)
        self.events: Counter[str] = Counter()
        self.starts = 0

    @property
    def digest(self) -> str:
        """What was decided, and when."""
        return self._digest.hexdigest()[:16]

    def dispatcher(self, **terms: Any) -> Dispatcher:
        """Make a dispatcher that is metered."""
        made = Dispatcher(**terms)
        for name in _EVENTS:
            setattr(made, name, partial(self._take, name, getattr(made, name)))
        return made

    def _take(
        self,
        name: str,
        event: Callable[..., tuple[object, ...]],
        *args: Any,
        **kwargs: Any,
    ) -> tuple[object, ...]:
        begun = time.thread_time()
        if self._profile is None:
            effects = event(*args, **kwargs)
        else:
            effects = self._profile.runcall(event, *args, **kwargs)
        self.seconds[name] += time.thread_time() - begun
        self.events[name] += 1
        for effect in effects:
            self.starts += isinstance(effect, StartRun)
            self._digest.update(_text(effect).encode())
        return effects


def _text(effect: object) -> str:
    match effect:
        case JobRefused():
            wait = round(effect.retry_after, _DIGITS)
            return f'{effect.job} {effect.reason} {wait}'
        case LogEvent():
            return effect.event
    return repr(effect)


def play(scene: Scene, meter: Meter, *, seed: int) -> float:
    """Play a scene; give how many jobs waited on average."""
    world = PoolWorld(
        workers=_ENDPOINTS,
        millicores=_CORES_OF_ENDPOINT,
        seed=seed,
        order=_ORDER,
        make=meter.dispatcher,
    )
    for arrival in arrivals(
        load=scene.load * _NORMAL_LOAD,
        endpoints=_ENDPOINTS,
        seconds=_BEFORE + _SECONDS,
        seed=seed,
    ):
        world.after(arrival.at, partial(world.submit, arrival.plan))
    if scene.has_loss:
        for worker in tuple(world.workers.values())[::_LOST_SHARE]:
            worker.faults.dark = True
    world.run_for(_BEFORE)
    meter.clear()
    waiting: list[int] = []
    for _ in range(round(_SECONDS)):
        world.run_for(1)
        waiting.append(sum(world.dispatcher.waiting.values()))
    return sum(waiting) / len(waiting)


def report(
    *,
    seed: int = 1,
    profile: bool = False,
    scenes: tuple[int, ...] = (0, 1, 2, 3),
) -> None:
    """Play the scenes and print what they cost.

    Args:
        seed: Of the draws.
        profile: Whether to profile, which slows the decisions down.
        scenes: Which, by number.
    """
    for number in scenes:
        scene = _SCENES[number]
        profiler = cProfile.Profile() if profile else None
        meter = Meter(profiler)
        waiting = play(scene, meter, seed=seed)
        print(f'load {scene.load}, third lost {scene.has_loss}')
        print(f'  waiting {waiting:.0f}, digest {meter.digest}')
        _print_costs(meter)
        if profiler is not None:
            stats = pstats.Stats(profiler)
            stats.sort_stats('tottime').print_stats(_SHOWN)


def _print_costs(meter: Meter) -> None:
    total = sum(meter.seconds.values())
    each = total / max(1, meter.starts) * _MICRO
    share = total / _SECONDS
    starts = meter.starts / _SECONDS
    print(f'  {share:.3f} s a second, {each:.0f} us a start')
    print(f'  {starts:.0f} starts a second')
    for name, seconds in sorted(meter.seconds.items()):
        count = meter.events[name]
        each = seconds / count * _MICRO
        share = seconds / _SECONDS
        rate = count / _SECONDS
        print(f'  {name}: {share:.3f} s a second')
        print(f'    {rate:.0f} a second, {each:.0f} us each')


if __name__ == '__main__':
    fire.Fire(report)
