"""Interface of the platform's object store."""

import abc
import threading

from returns import result

from persimmonpath import errors


class ObjectStore(abc.ABC):
    """Stores objects by name; used for task checkpoints."""

    @abc.abstractmethod
    def put(
        self, name: str, body: bytes
    ) -> result.Result[None, errors.ObjectError]:
        """Stores an object; replaces one of the same name."""

    @abc.abstractmethod
    def get(self, name: str) -> result.Result[bytes | None, errors.ObjectError]:
        """Reads an object; returns `Success(None)` if there is none."""


class MemoryObjectStore(ObjectStore):
    """An object store in memory."""

    def __init__(self):
        self._lock = threading.Lock()
        self._bodies: dict[str, bytes] = {}

    def put(
        self, name: str, body: bytes
    ) -> result.Result[None, errors.ObjectError]:
        """Stores an object."""
        with self._lock:
            self._bodies[name] = body
        return result.Success(None)

    def get(self, name: str) -> result.Result[bytes | None, errors.ObjectError]:
        """Reads an object."""
        with self._lock:
            return result.Success(self._bodies.get(name))


def create_memory_object_store() -> ObjectStore:
    """Creates an empty object store in memory."""
    return MemoryObjectStore()
