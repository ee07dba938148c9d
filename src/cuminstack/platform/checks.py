"""Files with a desired state, as a kind of file that operators can check."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from cuminstack.platform._desired_state import (
    InvalidState,
    canonical_body,
    decode_state,
)
from cuminstack.platform._state_checks import state_checks
from cuminstack.platform._state_draft import read_draft
from cuminstack.queries import Finding, NotComparable, Severity, file_kind


@file_kind
class DesiredStateFiles:
    """JSON files with a desired state."""

    name = 'desired state'
    suffix = '.json'
    openings = ('{',)
    live_path = '/api/Config.Read'

    def find(self, text: str) -> Iterable[Finding]:
        """Return all errors, and what has no effect or contradicts itself."""
        draft, errors = read_draft(text)
        findings = list(errors)
        if draft is not None:
            findings.extend(state_checks.run(draft))
        if not any(each.severity is Severity.error for each in findings):
            findings.extend(_refusals(text))
        return findings

    def compare(self, text: str, in_force: str) -> Iterable[Finding]:
        """Return the values that differ, and whether the version is usable."""
        try:
            old_body = canonical_body(in_force.encode())
            old_version = decode_state(in_force.encode()).version
        except InvalidState as error:
            raise NotComparable(str(error)) from error
        draft, _ = read_draft(text)
        if draft is None:
            return ()
        findings = list(_differences('$', json.loads(old_body), draft.document))
        is_changed = canonical_body(text.encode()) != old_body
        if is_changed and draft.version is not None:
            findings.extend(_version_findings(draft.version, old_version))
        return findings


def _refusals(text: str) -> Iterator[Finding]:
    """Yield why an instance would refuse a state that passed all checks."""
    try:
        decode_state(canonical_body(text.encode()))
    except InvalidState as error:
        yield Finding(Severity.error, 'refused', '$', str(error))


def _version_findings(version: int, in_force: int) -> Iterator[Finding]:
    advice = f'{in_force} is in force; use a higher one'
    if version == in_force:
        message = f'an instance answers 409 to another state; {advice}'
        yield Finding(Severity.error, 'version_reused', '$.version', message)
    elif version < in_force:
        message = f'{version} would not come into force; {advice}'
        yield Finding(
            Severity.warning, 'version_outdated', '$.version', message
        )


def _differences(path: str, old: Any, new: Any) -> Iterator[Finding]:
    if old == new:
        return
    old_items, new_items = _items_of(old), _items_of(new)
    if old_items is None or new_items is None:
        message = f'{json.dumps(old)} -> {json.dumps(new)}'
        yield Finding(Severity.difference, 'changed', path, message)
        return
    for key in sorted(old_items.keys() - new_items.keys()):
        below = f'{path}{key}'
        yield Finding(Severity.difference, 'removed', below, 'removed')
    for key in sorted(new_items.keys() - old_items.keys()):
        added = json.dumps(new_items[key])
        yield Finding(Severity.difference, 'added', f'{path}{key}', added)
    for key in sorted(old_items.keys() & new_items.keys()):
        yield from _differences(f'{path}{key}', old_items[key], new_items[key])


def _items_of(value: Any) -> dict[str, Any] | None:
    """Return the parts of a value by the rest of their path.

    Returns:
        Fields of an object, or elements of an array by their `name`; None if
        the value is neither, or names are absent or repeated.
    """
    if isinstance(value, dict):
        return {f'.{key}': field for key, field in value.items()}
    if not isinstance(value, list):
        return None
    if not all(isinstance(each, dict) and 'name' in each for each in value):
        return None
    named = {_element_key(each['name']): each for each in value}
    has_repeated_names = len(named) < len(value)
    return None if has_repeated_names else named


def _element_key(name: Any) -> str:
    quoted = json.dumps(name)
    return f'[{quoted}]'
