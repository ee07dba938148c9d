"""Lenient reading of a desired state, which reports all of its errors."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec

from cuminstack.platform._desired_state import Limits, Route, Service
from cuminstack.platform._numbers import Timestamp
from cuminstack.queries import Finding, Severity

_Part = TypeVar('_Part')
#: Separates the message of msgspec from the path below the decoded value.
_PATH_MARK: Final = ' - at `$'


@dataclass(frozen=True, slots=True)
class Draft:
    """The parts of a desired state that could be decoded.

    Args:
        document: The JSON document.
        version: Version of the state; None if it could not be decoded.
        routes: Routes, by JSON path.
        services: Services, by JSON path.
        limits: Request limits.
        is_complete: Whether all parts could be decoded.
    """

    document: dict[str, Any]
    version: int | None
    routes: dict[str, Route]
    services: dict[str, Service]
    limits: Limits
    is_complete: bool

    @property
    def has_all_services(self) -> bool:
        """Whether all services could be decoded."""
        listed = self.document.get('services')
        return isinstance(listed, list) and len(listed) == len(self.services)


def read_draft(text: str) -> tuple[Draft | None, tuple[Finding, ...]]:
    """Decode each part of a desired state on its own.

    Args:
        text: The JSON text.

    Returns:
        The draft, or None if the text isn't a JSON object; and an error for
        each part that could not be decoded.
    """
    try:
        document = json.loads(text)
    except json.JSONDecodeError as error:
        place = f'line {error.lineno} column {error.colno}'
        return None, (_malformed(place, f'not valid JSON: {error.msg}'),)
    except (ValueError, RecursionError) as error:
        return None, (_malformed('$', f'not usable JSON: {error}'),)
    if not isinstance(document, dict):
        return None, (_malformed('$', 'must be an object'),)
    reader = _PartReader(document)
    draft = reader.read()
    return draft, tuple(reader.errors)


def _malformed(location: str, message: str) -> Finding:
    return Finding(Severity.error, 'malformed', location, message)


class _PartReader:
    def __init__(self, document: dict[str, Any]) -> None:
        self.errors: list[Finding] = []
        self._document = document

    def read(self) -> Draft:
        limits = self._document.get('limits', {})
        version = self._decode('$.version', self._get('version'), Timestamp)
        routes = self._decode_array('routes', Route)
        services = self._decode_array('services', Service)
        decoded_limits = self._decode('$.limits', limits, Limits)
        return Draft(
            document=self._document,
            version=version,
            routes=routes,
            services=services,
            limits=decoded_limits or Limits(),
            is_complete=not self.errors,
        )

    def _get(self, key: str) -> Any:
        return self._document.get(key)

    def _decode_array(self, key: str, kind: type[_Part]) -> dict[str, _Part]:
        return {
            path: part
            for path, document in self._elements(key)
            if (part := self._decode(path, document, kind)) is not None
        }

    def _elements(self, key: str) -> Iterator[tuple[str, Any]]:
        array = self._get(key)
        if not isinstance(array, list):
            self.errors.append(_malformed(f'$.{key}', 'must be an array'))
            return
        for index, element in enumerate(array):
            yield f'$.{key}[{index}]', element

    def _decode(self, path: str, part: Any, kind: Any) -> Any:
        # Decodes JSON text instead of converting the object, so that exactly
        # the values are accepted that an instance accepts.
        try:
            return msgspec.json.decode(json.dumps(part), type=kind)
        except (msgspec.DecodeError, RecursionError) as error:
            message, _, below = str(error).partition(_PATH_MARK)
            location = path + below.rstrip('`')
            self.errors.append(_malformed(location, message))
            return None
