"""Types of the numbers that are read from others, with their bounds.

Python computes with integers of any size, but one of 400 digits can't be
converted to a float. A message with a number out of bounds is unreadable.
"""

from typing import Annotated

import msgspec

# Largest integer that a JSON number holds exactly in every implementation.
MAX_NUMBER = 1 << 53

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
SignedCount = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
