"""Responses to rejected requests of callers."""

import msgspec

from persimmonpath_entry.transport import httpserver

# Retry-After of rejected requests: an outage of the store or a takeover of a
# service lasts some seconds.
RETRY_AFTER_S = 2


def make_error(
    status: int, reason: str, retry_after_s: int | None = None
) -> httpserver.Response:
    """Returns the response to a rejected request.

    Args:
      status: the HTTP status.
      reason: the text of the field "error" in the body.
      retry_after_s: seconds for the header Retry-After, None to leave it out.
    """
    return httpserver.Response(
        status, msgspec.json.encode({"error": reason}), retry_after_s
    )
