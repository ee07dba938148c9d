"""Checks of a desired state before it is submitted."""

import difflib
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

import msgspec

from cuminstack.platform._desired_state import (
    Limits,
    Route,
    Service,
)
from cuminstack.platform._state_draft import Draft
from cuminstack.queries import CheckRegistry, Place, Severity

#: Similarity from which an unknown key is taken for a misspelt one.  States
#: may have keys that only other programs read.
_TYPO_SIMILARITY: Final = 0.8

#: The checks, which run on the parts of a state that could be decoded.
state_checks: CheckRegistry[Draft] = CheckRegistry()
_error = Severity.error
_warning = Severity.warning


@state_checks.register('version_not_positive', _error)
def _check_version(draft: Draft) -> Iterator[Place]:
    if draft.version == 0:
        yield '$.version', 'must be positive; use the next version'


@state_checks.register('undeclared_service', _error)
def _check_services_declared(draft: Draft) -> Iterator[Place]:
    declared = {service.name for service in draft.services.values()}
    for path, route in draft.routes.items():
        if draft.has_all_services and route.service not in declared:
            yield (
                f'{path}.service',
                f'service {route.service!r} is not declared; add it to '
                'services, or name a declared one',
            )


@state_checks.register('hidden_route', _error)
def _check_hidden_routes(draft: Draft) -> Iterator[Place]:
    first_paths: dict[tuple[str, str], str] = {}
    for path, route in draft.routes.items():
        key = (route.host, route.path_prefix)
        first = first_paths.setdefault(key, path)
        if first != path:
            yield (
                f'{path}.pathPrefix',
                f'{first} has the same host and prefix, so this route never '
                'matches; change the prefix or remove one of them',
            )


@state_checks.register('timeout_not_positive', _error)
def _check_timeouts(draft: Draft) -> Iterator[Place]:
    for path, route in draft.routes.items():
        if route.timeout_ms <= 0:
            yield f'{path}.timeoutMs', 'must be present and positive'


@state_checks.register('unmatched_host', _warning)
def _check_hosts(draft: Draft) -> Iterator[Place]:
    for path, route in draft.routes.items():
        if not route.host or '/' in route.host:
            yield (
                f'{path}.host',
                f'no Host header equals {route.host!r}; give a host name '
                'without scheme and path',
            )


@state_checks.register('unmatched_prefix', _warning)
def _check_prefixes(draft: Draft) -> Iterator[Place]:
    for path, route in draft.routes.items():
        prefix = route.path_prefix
        if not prefix.startswith('/') or '?' in prefix:
            yield (
                f'{path}.pathPrefix',
                f'no path begins with {prefix!r}; begin it with a slash and '
                'leave out the query',
            )


@state_checks.register('unused_service', _warning)
def _check_unused_services(draft: Draft) -> Iterator[Place]:
    used = {route.service for route in draft.routes.values()}
    for path, service in draft.services.items():
        # A route that could not be decoded may use the service.
        if draft.is_complete and service.name not in used:
            yield (
                path,
                f'service {service.name!r} has no route, so it gets no jobs; '
                'add a route or remove it',
            )


@state_checks.register('repeated_name', _warning)
def _check_repeated_names(draft: Draft) -> Iterator[Place]:
    groups: tuple[Mapping[str, Route | Service], ...] = (
        draft.routes,
        draft.services,
    )
    for group in groups:
        counts = Counter(each.name for each in group.values())
        for path, each in group.items():
            if counts[each.name] > 1:
                yield (
                    f'{path}.name',
                    f'{each.name!r} is used more than once; give each its '
                    'own name',
                )


@state_checks.register('timeout_below_objective', _warning)
def _check_objectives(draft: Draft) -> Iterator[Place]:
    for path, route in draft.routes.items():
        timeout, objective = route.timeout_ms, route.slo_ms
        if 0 < timeout < objective:
            yield (
                f'{path}.timeoutMs',
                f'{timeout} is below sloMs, {objective}; raise it or lower '
                'sloMs',
            )


@state_checks.register('no_attempts', _warning)
def _check_attempts(draft: Draft) -> Iterator[Place]:
    for path, route in draft.routes.items():
        if route.attempts == 0:
            yield (
                f'{path}.attempts',
                'tasks are run once although it is 0; set it to 1 or more',
            )


@state_checks.register('stretch_below_one', _warning)
def _check_stretch(draft: Draft) -> Iterator[Place]:
    for path, route in draft.routes.items():
        stretch = route.stretch
        if stretch < 1:
            yield (
                f'{path}.stretch',
                f'{stretch} is below 1, the run time of the job '
                'itself, and 0 is taken as 1; set it to 1 or more',
            )


@state_checks.register('no_body_limit', _warning)
def _check_body_limit(draft: Draft) -> Iterator[Place]:
    if draft.routes and draft.is_complete and not draft.limits.max_body_bytes:
        yield (
            '$.limits.maxBodyBytes',
            'is 0 or absent, which is taken as no limit, while routes take '
            'bodies; set it to the largest body of a job',
        )


@state_checks.register('misspelt_key', _warning)
def _check_keys(draft: Draft) -> Iterator[Place]:
    document = draft.document
    top = ('version', 'routes', 'services', 'limits')
    yield from _misspelt('$', document, top)
    yield from _misspelt('$.limits', document.get('limits'), _keys_of(Limits))
    for key, kind in (('routes', Route), ('services', Service)):
        elements = document.get(key)
        if isinstance(elements, list):
            for index, element in enumerate(elements):
                path = f'$.{key}[{index}]'
                yield from _misspelt(path, element, _keys_of(kind))


def _misspelt(path: str, part: Any, known: Iterable[str]) -> Iterator[Place]:
    names = tuple(known)
    if not isinstance(part, dict):
        return
    for key in part:
        if key in names:
            continue
        close = difflib.get_close_matches(key, names, 1, _TYPO_SIMILARITY)
        if close:
            yield f'{path}.{key}', f'has no effect; did you mean {close[0]!r}?'


def _keys_of(kind: type[msgspec.Struct]) -> tuple[str, ...]:
    return tuple(each.encode_name for each in msgspec.structs.fields(kind))
