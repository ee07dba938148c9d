"""Columns of records: how the text of a cell is parsed and formatted."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Final, TypeVar

from cuminstack.core import is_name
from cuminstack.sheet._faults import BadCell, FaultKind

_INTEGER: Final = re.compile('[0-9]{1,16}')
_DECIMAL: Final = re.compile(r'[0-9]{1,9}(\.[0-9]{1,3})?')
_DECIMAL_FORMAT: Final = '.3f'

_Number = TypeVar('_Number', int, float)


@dataclass(frozen=True, slots=True)
class Column:
    """A column of a record kind.

    Args:
        name: The field of the record that holds its value.
        read: Converts the text of a cell to a value; raises `BadCell`.
        write: Converts a value to its canonical text.
    """

    name: str
    read: Callable[[str], Any]
    write: Callable[[Any], str] = str


def name_column(name: str) -> Column:
    """Return a column of names, as accepted by `is_name`."""
    return Column(name, _read_name)


def integer_column(name: str, *, low: int = 0, high: int) -> Column:
    """Return a column of integers from `low` to `high`, inclusive."""
    return Column(name, partial(_read_integer, low=low, high=high))


def decimal_column(name: str, *, low: float = 0, high: float) -> Column:
    """Return a column of decimal numbers from `low` to `high`, inclusive.

    A number has at most three decimal places.
    """
    read = partial(_read_decimal, low=low, high=high)
    return Column(name, read, _write_decimal)


def choice_column(name: str, choices: type[Any]) -> Column:
    """Return a column of the values of an enumeration."""
    return Column(name, partial(_read_choice, choices=choices), _write_choice)


def _read_integer(text: str, *, low: int, high: int) -> int:
    if _INTEGER.fullmatch(text) is None:
        raise BadCell(FaultKind.bad_number, repr(text))
    return _check_range(int(text), low, high)


def _read_decimal(text: str, *, low: float, high: float) -> float:
    if _DECIMAL.fullmatch(text) is None:
        raise BadCell(FaultKind.bad_number, repr(text))
    return _check_range(float(text), low, high)


def _read_choice(text: str, *, choices: type[Any]) -> Any:
    try:
        return choices(text)
    except ValueError as error:
        allowed = ', '.join(choice.value for choice in choices)
        detail = f'{text!r} is none of {allowed}'
        raise BadCell(FaultKind.bad_choice, detail) from error


def _read_name(text: str) -> str:
    if not is_name(text):
        raise BadCell(FaultKind.bad_name, repr(text))
    return text


def _check_range(number: _Number, low: float, high: float) -> _Number:
    if not low <= number <= high:
        detail = f'{number} is not from {low} to {high}'
        raise BadCell(FaultKind.out_of_range, detail)
    return number


def _write_decimal(number: float) -> str:
    digits = format(number, _DECIMAL_FORMAT)
    return digits.rstrip('0').rstrip('.')


def _write_choice(choice: Any) -> str:
    return str(choice.value)
