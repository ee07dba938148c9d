"""Ranges of the numbers that other systems send.

A number outside its range is rejected when its message is decoded.  JSON
integers have no upper limit, so further on one could overflow a float, a
64-bit field of a stored record, or a sort key.
"""

from typing import Annotated, Final

import msgspec

#: Largest integer that JSON parsers with double precision keep exactly.
_MAX_EXACT: Final = 9007199254740991
#: Largest amount of one resource: a million cores, or a petabyte.
_MAX_AMOUNT: Final = 1000000000
_MAX_SERIAL: Final = 2147483647
#: About 32 years.
_MAX_MS: Final = 1.0e12
_MAX_PERCENT: Final = 100

#: A time in milliseconds, or a count that grows with time.
Timestamp = Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT)]
#: An amount of a resource, such as millicores or MB.
Amount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]
#: Number of a run.  A later dispatcher starts from higher ones, so they grow
#: as long as the deployment lives.
RunNumber = Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT)]
#: A count of items in one message, or a rank.
Serial = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SERIAL)]
#: A duration in milliseconds.
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_MS)]
#: A share of completed work.
Percent = Annotated[float, msgspec.Meta(ge=0, le=_MAX_PERCENT)]
