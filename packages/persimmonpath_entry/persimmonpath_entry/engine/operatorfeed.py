"""Follows what the operator writes: configuration and maintenance waves."""

import asyncio
import random

import msgspec

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
POLL_WAIT_S = 0.8
RETRY_S = 0.15
# While the store refuses this VM, it asks so many peers for their configuration
# in each interval, in seconds. A configuration of 300 KB takes half a second on
# a link of 5 Mbit/s.
ASKED_PEERS = 2
PEER_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 1.5
# Faulty fields of one configuration that are logged.
MAX_LOGGED_PROBLEMS = 20


class PeerConfiguration(msgspec.Struct, omit_defaults=True):
    """What a VM knows of the configuration, as told to a peer.

    Attributes:
      age_s: seconds since it was last known to be the newest one.
      value: the encoded configuration, empty if the peer has it already.
    """

    age_s: float
    value: bytes = b""


def describe_configuration(
    node: context.Context, version: int
) -> PeerConfiguration | None:
    """Returns what to tell a peer that has a version, None if nothing is known.

    Args:
      node: the context of the process.
      version: the version that the peer has, 0 for none.
    """
    current = node.configuration
    if current is None:
        return None
    age_s = clock.read_clock() - node.configuration_confirmed_at
    if current.version <= version:
        # An older configuration confirms nothing of the peer's newer one.
        if current.version < version:
            return None
        return PeerConfiguration(age_s)
    return PeerConfiguration(age_s, node.configuration_value)


class OperatorFeed:
    """Follows the operator's table in the store.

    The newest configuration is set in the context of the process; its version
    never decreases.

    Attributes:
      waves: the maintenance waves that the operator asked for, by row key.
    """

    def __init__(
        self, node: context.Context, peers: members.Members | None = None
    ):
        """Creates the feed; `run` follows the table.

        Args:
          node: the context of the process.
          peers: the peers that are asked while the store refuses this VM, None
            to ask nobody.
        """
        self._node = node
        self._peers = peers
        self._peers_asked_at = -PEER_INTERVAL_S
        self._peers_task: asyncio.Task | None = None
        # Whether the newest configuration couldn't be decoded, so that nothing
        # confirms the one that is in force here.
        self._is_unreadable = False
        self._version: int | None = None
        self.waves: dict[str, messages.MaintenanceWave] = {}

    async def run(self):
        """Reads the table, then its changes by long poll, until cancelled."""
        while True:
            asked_at = clock.read_clock()
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
                self._request_from_peers()
                await asyncio.sleep(RETRY_S)
                continue
            rowcodec.apply_rows(self._node, result.rows, self._apply_row)
            self._version = result.version
            if not result.has_more:
                self._confirm(asked_at)

    def _request_from_peers(self):
        """Starts to ask some peers for a newer configuration, at intervals.

        The store may refuse this VM while it serves others, and a revoked key
        must not be accepted here until it answers again.
        """
        if self._peers is None:
            return
        is_asking = self._peers_task is not None and not self._peers_task.done()
        asked_at = clock.read_clock()
        if is_asking or asked_at - self._peers_asked_at < PEER_INTERVAL_S:
            return
        self._peers_asked_at = asked_at
        self._peers_task = asyncio.get_running_loop().create_task(
            self._ask_peers(asked_at)
        )

    async def _ask_peers(self, asked_at: float):
        addresses = self._peers.list_reachable_peers()
        await asyncio.gather(
            *(
                self._ask_peer(address, asked_at)
                for address in random.sample(
                    addresses, min(ASKED_PEERS, len(addresses))
                )
            )
        )

    async def _ask_peer(self, address: str, asked_at: float):
        current = self._node.configuration
        version = 0 if current is None else current.version
        outcome = await self._peers.call(
            address,
            "GET",
            f"/peer/configuration/{version}",
            timeout_s=PEER_TIMEOUT_S,
        )
        if not isinstance(outcome, httpclient.Response):
            return
        if outcome.status != 200:
            return
        try:
            answer = msgspec.json.decode(outcome.body, type=PeerConfiguration)
        except messages.UNREADABLE:
            return
        if answer.value:
            self.apply_configuration(answer.value)
        elif self._node.configuration is not current:
            return
        if answer.value in (b"", self._node.configuration_value):
            self._confirm(asked_at - answer.age_s)

    def _confirm(self, moment: float):
        """Records that the configuration was the newest one at a moment."""
        node = self._node
        if node.configuration is not None and not self._is_unreadable:
            node.configuration_confirmed_at = max(
                node.configuration_confirmed_at, moment
            )

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
            self._is_unreadable = True
            self._node.log.warn(
                "configuration_unreadable", reason=configuration
            )
            return
        self._is_unreadable = False
        current = self._node.configuration
        if current is not None and configuration.version <= current.version:
            return
        self._node.configuration = configuration
        self._node.configuration_value = value
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
