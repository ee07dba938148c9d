"""Routes peer messages and effects to the handlers registered for them.

A handler is an object with methods decorated by `on_message` or `on_effect`.
The router passes each message or effect to the method for its type, and
processes the effects which that method returns in the same way.  Effects
without a handler are external: the surrounding layer performs them.
"""

import inspect
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Final, TypeVar

from cuminstack.core import InstanceId

_MESSAGE_TYPES_ATTRIBUTE: Final = '_handled_messages'
_EFFECT_TYPES_ATTRIBUTE: Final = '_handled_effects'

_Method = TypeVar('_Method', bound=Callable[..., Any])

Effects = tuple[Any, ...]


class UnroutedMessage(Exception):
    """No handler is registered for messages of this type."""


class UnroutedEffect(Exception):
    """Effects of this type have no handler and are not external."""


def on_message(*types: type[Any]) -> Callable[[_Method], _Method]:
    """Register a method `(sender, message, *, now) -> effects` for types."""
    return _attribute_setter(_MESSAGE_TYPES_ATTRIBUTE, types)


def on_effect(*types: type[Any]) -> Callable[[_Method], _Method]:
    """Register a method `(effect, *, now) -> effects` for types."""
    return _attribute_setter(_EFFECT_TYPES_ATTRIBUTE, types)


class Router:
    """Processes messages and effects until only external effects are left.

    Args:
        external: Types of effects that the surrounding layer performs.
    """

    def __init__(self, external: Iterable[type[Any]]) -> None:
        self._external = tuple(external)
        self._message_methods: dict[type[Any], Callable[..., Effects]] = {}
        self._effect_methods: dict[type[Any], Callable[..., Effects]] = {}

    def add_all(self, *handlers: object) -> None:
        """Register the decorated methods of handlers."""
        for handler in handlers:
            self._add(handler)

    def _add(self, handler: object) -> None:
        methods = inspect.getmembers(type(handler), inspect.isfunction)
        for name, function in methods:
            for handled in getattr(function, _MESSAGE_TYPES_ATTRIBUTE, ()):
                self._message_methods[handled] = getattr(handler, name)
            for handled in getattr(function, _EFFECT_TYPES_ATTRIBUTE, ()):
                self._effect_methods[handled] = getattr(handler, name)

    @property
    def handled_messages(self) -> frozenset[type[Any]]:
        """Types of the messages that have a handler."""
        return frozenset(self._message_methods)

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Process a peer message, and return the external effects.

        Raises:
            UnroutedMessage: No handler is registered for its type.
        """
        method = self._message_methods.get(type(message))
        if method is None:
            raise UnroutedMessage(type(message).__name__)
        return self.process(method(sender, message, now=now), now=now)

    def process(self, effects: Effects, *, now: float) -> Effects:
        """Process effects in order, and return the external ones.

        Raises:
            UnroutedEffect: An effect has no handler and is not external.
        """
        external: list[Any] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            method = self._effect_methods.get(type(effect))
            if method is None:
                external.append(self._require_external(effect))
            else:
                pending.extend(method(effect, now=now))
        return tuple(external)

    def _require_external(self, effect: Any) -> Any:
        if isinstance(effect, self._external):
            return effect
        raise UnroutedEffect(type(effect).__name__)


def _attribute_setter(
    attribute: str,
    types: tuple[type[Any], ...],
) -> Callable[[_Method], _Method]:
    def decorator(method: _Method) -> _Method:
        setattr(method, attribute, types)
        return method

    return decorator
