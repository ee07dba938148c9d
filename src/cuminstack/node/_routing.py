"""Routes peer messages and effects to the desks that handle them.

A desk is an object whose methods are marked by `on_message` or `on_effect`.
The router gives each event to the marked method and works off the effects
that it returns; effects that no desk handles are for the layer outside.
"""

import inspect
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Final, TypeVar

from cuminstack.core import InstanceId

_MESSAGE_MARK: Final = '_handled_messages'
_EFFECT_MARK: Final = '_handled_effects'

_Method = TypeVar('_Method', bound=Callable[..., Any])

Effects = tuple[Any, ...]


class UnroutedMessage(Exception):
    """No desk handles messages of this type."""


class UnroutedEffect(Exception):
    """No desk handles effects of this type, and they can't leave either."""


def on_message(*types: type[Any]) -> Callable[[_Method], _Method]:
    """Mark a method `(sender, message, *, now) -> effects`."""
    return _marker(_MESSAGE_MARK, types)


def on_effect(*types: type[Any]) -> Callable[[_Method], _Method]:
    """Mark a method `(effect, *, now) -> effects`."""
    return _marker(_EFFECT_MARK, types)


class Router:
    """Works off events until only outward effects are left.

    Args:
        outward: Types of effects for the layer outside.
    """

    def __init__(self, outward: Iterable[type[Any]]) -> None:
        self._outward = tuple(outward)
        self._message_handlers: dict[type[Any], Callable[..., Effects]] = {}
        self._effect_handlers: dict[type[Any], Callable[..., Effects]] = {}

    def add_all(self, *desks: object) -> None:
        """Take the marked methods of desks."""
        for desk in desks:
            self._add(desk)

    def _add(self, desk: object) -> None:
        methods = inspect.getmembers(type(desk), inspect.isfunction)
        for name, function in methods:
            for marked in getattr(function, _MESSAGE_MARK, ()):
                self._message_handlers[marked] = getattr(desk, name)
            for marked in getattr(function, _EFFECT_MARK, ()):
                self._effect_handlers[marked] = getattr(desk, name)

    @property
    def handled_messages(self) -> frozenset[type[Any]]:
        """Types of the messages that some desk handles."""
        return frozenset(self._message_handlers)

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Handle a peer message; return the outward effects.

        Raises:
            UnroutedMessage: No desk handles its type.
        """
        handler = self._message_handlers.get(type(message))
        if handler is None:
            raise UnroutedMessage(type(message).__name__)
        return self.settle(handler(sender, message, now=now), now=now)

    def settle(self, effects: Effects, *, now: float) -> Effects:
        """Work off effects in order; return the outward ones.

        Raises:
            UnroutedEffect: An effect is neither handled nor outward.
        """
        outward: list[Any] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            handler = self._effect_handlers.get(type(effect))
            if handler is None:
                outward.append(self._checked(effect))
            else:
                pending.extend(handler(effect, now=now))
        return tuple(outward)

    def _checked(self, effect: Any) -> Any:
        if isinstance(effect, self._outward):
            return effect
        raise UnroutedEffect(type(effect).__name__)


def _marker(
    mark: str,
    types: tuple[type[Any], ...],
) -> Callable[[_Method], _Method]:
    def decorator(method: _Method) -> _Method:
        setattr(method, mark, types)
        return method

    return decorator
