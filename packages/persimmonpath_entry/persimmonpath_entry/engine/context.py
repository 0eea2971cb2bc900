"""State shared by the components of an entry VM process."""

import dataclasses
import time

from persimmonpath_entry.platform import settings as platform_settings
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration as desired
from persimmonpath_entry.transport import logs
from persimmonpath_entry.transport import metrics


@dataclasses.dataclass(eq=False)
class Context:
    """State shared by the components of an entry VM process.

    Attributes:
      settings: settings of the process.
      store: client of the store.
      log: log of the process.
      metrics: metrics of the process.
      boot: id of this incarnation of the process.
      configuration: newest operator configuration, None until the first one is
        read.
      configuration_value: the encoded form of that configuration.
      configuration_confirmed_at: when that configuration was last known to be
        the newest one, on the monotonic clock.
      is_stopping: whether the process has been told to stop.
    """

    settings: platform_settings.Settings
    store: platform_store.StoreClient
    log: logs.Log
    metrics: metrics.Metrics
    boot: str = dataclasses.field(default_factory=lambda: f"{time.time_ns():x}")
    configuration: desired.Configuration | None = None
    configuration_value: bytes = b""
    configuration_confirmed_at: float = 0.0
    is_stopping: bool = False

    @property
    def name(self) -> str:
        """The name of the VM."""
        return self.settings.node_name

    @property
    def peer_address(self) -> str:
        """The address, as ip:port, at which peers reach this process."""
        return f"{self.settings.ip}:{self.settings.internal_ports[0]}"

    @property
    def max_row_bytes(self) -> int:
        """The bytes of a row that the store takes in any case.

        Its base64 text is then within the store's limit as well.
        """
        return self.settings.store.row_bytes // 4 * 3

    @property
    def lease_ms(self) -> float:
        """The length of a task lease in milliseconds."""
        return self.settings.bounds.hold_max_ms

    def find_queue(self, name: str) -> desired.Queue | None:
        """Returns a queue of the current configuration, None if absent."""
        if self.configuration is None:
            return None
        return self.configuration.queues.get(name)


def describe_error(error: BaseException) -> dict[str, str]:
    """Returns the log fields that describe an unexpected error."""
    return {
        "reason": f"{type(error).__name__}: {error}",
        "where": find_raise_location(error),
    }


def find_raise_location(error: BaseException) -> str:
    """Returns "file:line" of the place at which an error was raised.

    Returns:
      The place, "unknown" if the error has no traceback.
    """
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    if frame is None:
        return "unknown"
    name = frame.tb_frame.f_code.co_filename.rsplit("/", 1)[-1]
    return f"{name}:{frame.tb_lineno}"
