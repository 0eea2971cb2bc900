"""Follows what the operator writes: configuration and maintenance waves."""

import asyncio

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
POLL_WAIT_S = 0.8
RETRY_S = 0.15
# Faulty fields of one configuration that are logged.
MAX_LOGGED_PROBLEMS = 20


class OperatorFeed:
    """Follows the operator's table in the store.

    The newest configuration is set in the context of the process; its version
    never decreases.

    Attributes:
      waves: the maintenance waves that the operator asked for, by row key.
    """

    def __init__(self, node: context.Context):
        self._node = node
        self._version: int | None = None
        self.waves: dict[str, messages.MaintenanceWave] = {}

    async def run(self):
        """Reads the table, then its changes by long poll, until cancelled."""
        while True:
            if self._version is None:
                result = await self._node.store.read_all(OPERATOR_TABLE, "")
            else:
                result = await self._node.store.follow(
                    OPERATOR_TABLE, self._version, POLL_WAIT_S
                )
            if isinstance(result, platform_store.HistoryGone):
                self._node.log.warn(
                    "history_gone", table=OPERATOR_TABLE, version=self._version
                )
                self._version = None
                continue
            if isinstance(result, platform_store.Refused):
                self._node.log.write(
                    "operator_unread",
                    version=self._version or 0,
                    status=result.status,
                )
                # Reads the table again. The feed repeats every missed version,
                # more than a narrow link carries within the timeout, while the
                # table holds only the newest.
                self._version = None
                await asyncio.sleep(RETRY_S)
                continue
            rowcodec.apply_rows(self._node, result.rows, self._apply_row)
            self._version = result.version

    def _apply_row(self, row: platform_store.Row):
        """Applies a changed configuration or maintenance wave."""
        if row.is_deleted:
            if row.key.startswith(WAVE_PREFIX):
                self.waves.pop(row.key, None)
            return
        if row.key == CONFIGURATION_KEY:
            self.apply_configuration(row.value)
        elif row.key.startswith(WAVE_PREFIX):
            wave = messages.decode_maintenance_wave(row.value)
            if isinstance(wave, str):
                self._node.log.warn("row_unreadable", row=row.key, reason=wave)
            else:
                self.waves[row.key] = wave

    def apply_configuration(self, value: bytes):
        """Applies a configuration if its version is newer than the current one.

        Args:
          value: the encoded configuration. If it can't be decoded, it is logged
            and the current one stays.
        """
        configuration = messages.decode_configuration(value)
        if isinstance(configuration, str):
            self._node.log.warn(
                "configuration_unreadable", reason=configuration
            )
            return
        current = self._node.configuration
        if current is not None and configuration.version <= current.version:
            return
        self._node.configuration = configuration
        for problem in configuration.problems[:MAX_LOGGED_PROBLEMS]:
            self._node.log.warn(
                "configuration_faulty",
                version=configuration.version,
                reason=problem,
            )
        self._node.metrics.set("configuration_version", configuration.version)
        self._node.log.warn(
            "configuration_applied",
            version=configuration.version,
            former=0 if current is None else current.version,
            queues=len(configuration.queues),
        )
