"""Exceptions of this project; most are returned as failures of results."""


class PersimmonError(Exception):
    """Base of every error of this project."""


class InvariantError(PersimmonError):
    """An internal invariant is violated; the process must stop."""


class InputError(PersimmonError):
    """A value from a caller or an operator is invalid.

    Attributes:
        field: Name of the invalid field.
        allowed: Description of the allowed range or form; may be empty.
    """

    def __init__(self, field: str, message: str, allowed: str = ""):
        super().__init__(f"{field}: {message}")
        self.field = field
        self.allowed = allowed


class IdReusedError(InputError):
    """The id belongs to a request with other content."""

    def __init__(self, request_id: str):
        super().__init__(
            "id",
            f"{request_id} was used for a request with other content",
            "one id for each request",
        )


class IdNotIssuedError(InputError):
    """No owner of the shard issued the id."""

    def __init__(self, request_id: str):
        super().__init__(
            "id",
            f"{request_id} was not issued",
            "an id issued by POST /v1/ids",
        )


class TableError(PersimmonError):
    """A call to the table service did not succeed."""


class TableUnavailableError(TableError):
    """The table service is unavailable; the call definitely had no effect."""


class TableUncertainError(TableError):
    """The answer was lost; a write may have taken effect."""


class TableConflictError(TableError):
    """A check of the transaction failed; nothing was written."""


class QuotaExceededError(TableError):
    """The commit would exceed the quota of a team; nothing was written."""


class UnplaceableError(PersimmonError):
    """No worker of the inventory can ever run the work."""


class ObjectError(PersimmonError):
    """A call to the object store did not succeed."""


class MachineListError(PersimmonError):
    """The platform's list of VMs could not be read."""


class WorkerError(PersimmonError):
    """A call to a worker did not succeed."""


class WorkerUnreachableError(WorkerError):
    """The worker did not answer; the call may have taken effect."""


class WorkerNotContactedError(WorkerError):
    """The call was never sent, so it definitely had no effect."""


class StartRefusedError(WorkerError):
    """The worker refused a start; the attempt does not run.

    Attributes:
        reason: A `workers.Refusal` value.
    """

    def __init__(self, reason: str):
        super().__init__(f"start refused: {reason}")
        self.reason = reason


class StaleEpochError(WorkerError):
    """The worker has been fenced by a higher epoch or another owner."""


class LeaseLapsedError(WorkerError):
    """The worker's owner lease has expired; it must be fenced again."""


class UnknownAttemptError(WorkerError):
    """The worker has no record of the attempt."""


class PeerError(PersimmonError):
    """A call to another entry VM did not succeed.

    Attributes:
        sent: Whether the call may have reached the peer; False if it definitely
            has not.
    """

    def __init__(self, message: str, sent: bool):
        super().__init__(message)
        self.sent = sent


class NotOwnerError(PersimmonError):
    """The callee does not own the shard that the call is for.

    Attributes:
        has_run: Whether the callee may have started the request while it
            still owned the shard.
    """

    def __init__(self, message: str, has_run: bool = False):
        super().__init__(message)
        self.has_run = has_run
