"""Follows the desired configuration; a version never goes back."""

import asyncio

from persimmonpath_entry.engine import context
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store

TABLE = "op"
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
POLL_WAIT_S = 0.8
RETRY_S = 0.15


class Versions:
    """Follows the configuration and what else the operator writes."""

    def __init__(self, node: context.Context):
        self._node = node
        self._version: int | None = None
        self.waves: dict[str, messages.MaintenanceWave] = {}

    async def run(self):
        """Follows until cancelled."""
        while True:
            if self._version is None:
                result = await self._node.store.read_all(TABLE, "")
            else:
                result = await self._node.store.follow(
                    TABLE, self._version, POLL_WAIT_S
                )
            if isinstance(result, platform_store.HistoryGone):
                self._node.log.warn(
                    "history_gone", table=TABLE, version=self._version
                )
                self._version = None
                continue
            if isinstance(result, platform_store.Refused):
                self._node.log.write(
                    "operator_unread",
                    version=self._version or 0,
                    status=result.status,
                )
                # The feed repeats every version that was missed, more than a
                # thin link carries in time; the table holds the newest only.
                self._version = None
                await asyncio.sleep(RETRY_S)
                continue
            for row in result.rows:
                self._take(row)
            self._version = result.version

    def _take(self, row: platform_store.Row):
        if row.is_deleted:
            if row.key.startswith(WAVE_PREFIX):
                self.waves.pop(row.key, None)
            return
        if row.key == CONFIGURATION_KEY:
            self.take_configuration(row.value)
        elif row.key.startswith(WAVE_PREFIX):
            wave = messages.decode_maintenance_wave(row.value)
            if isinstance(wave, str):
                self._node.log.warn("row_unreadable", row=row.key, reason=wave)
            else:
                self.waves[row.key] = wave

    def take_configuration(self, value: bytes):
        """Applies a version if it is newer than the one in force."""
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
        self._node.metrics.set("configuration_version", configuration.version)
        self._node.log.warn(
            "configuration_applied",
            version=configuration.version,
            former=0 if current is None else current.version,
            queues=len(configuration.queues),
        )
