"""Assembles and runs the process of an entry VM."""

import asyncio
import errno
import functools
import signal

from persimmonpath_entry.engine import acceptance
from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import clientapi
from persimmonpath_entry.engine import connectivity
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import learnedrows
from persimmonpath_entry.engine import machinemaintenance
from persimmonpath_entry.engine import memberexpiry
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import operatorfeed
from persimmonpath_entry.engine import overview
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import peerapi
from persimmonpath_entry.engine import settingsreload
from persimmonpath_entry.engine import supervision
from persimmonpath_entry.engine import views
from persimmonpath_entry.platform import settings as platform_settings
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpserver
from persimmonpath_entry.transport import logs
from persimmonpath_entry.transport import metrics

# The platform takes a VM out of rotation after two failed readiness probes, one
# second apart. New connections arrive until then.
ROTATION_DELAY_S = 2.3
# Part of the grace period that is reserved for closing the process.
EXIT_MARGIN_S = 0.8
# Pause before an address that is in use is tried again, in seconds.
BIND_RETRY_S = 0.1
# Added to the time for which the platform keeps an address in use, in seconds.
BIND_SLACK_S = 0.5


class Node:
    """The process of an entry VM.

    Attributes:
      context: the settings, clients and metrics that its components share.
      members: the VMs of the system.
      operator_feed: follows what the operator writes.
      ownership: takes services over and runs their shards.
      reach: tracks whether this VM reaches the store.
      front: answers callers.
    """

    def __init__(self, settings: platform_settings.Settings):
        """Creates all components; `run` starts them.

        Args:
          settings: the settings of the process.
        """
        log = logs.Log(settings.node_name)
        measures = metrics.Metrics()
        store = platform_store.StoreClient(settings.store.address, measures)
        self.context = context.Context(settings, store, log, measures)
        self.members = members.Members(self.context)
        self.operator_feed = operatorfeed.OperatorFeed(
            self.context, self.members
        )
        self._advisor = advicebalancer.AdviceBalancer(
            self.context, self.members
        )
        self.ownership = owners.Ownership(
            self.context, self.members, self._advisor
        )
        self._advisor.list_owners = self.ownership.list_owners
        state_views = views.Views(self.context, self.ownership, self.members)
        self.reach = connectivity.Connectivity(self.context, self.members)
        self._acceptance = acceptance.Acceptance(
            self.context, self.reach, self.members.count_vms
        )
        self.front = clientapi.ClientApi(
            self.context,
            self._acceptance,
            self.ownership,
            self.members,
            self.reach,
            state_views,
        )
        self.front.checks.learned = learnedrows.LearnedReader(
            self.context, self.ownership.find_shard
        )
        self._peer_api = peerapi.PeerApi(
            self.context,
            state_views,
            self.ownership,
            self._advisor,
            self.reach,
        )
        self._upkeep = machinemaintenance.MachineMaintenance(
            self.context, self.operator_feed, self.ownership, self.members
        )
        self._upkeep.set_address(settings.machines.address)
        self._member_expiry = memberexpiry.MemberExpiry(
            self.context, self.members, self.ownership
        )
        self._reloader = settingsreload.SettingsReloader(
            self.context, self._apply_settings
        )
        self._stop = asyncio.Event()
        self._servers: list[httpserver.HttpServer] = []
        self._tasks: list[asyncio.Task] = []

    async def run(self):
        """Serves until SIGTERM or SIGINT; SIGHUP reloads the settings."""
        settings = self.context.settings
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        peer = await self._listen(
            self.context.peer_address, self._peer_api.handle, "peer"
        )
        front = await self._listen(
            settings.listen.front, self.front.handle, "front"
        )
        ready = await self._listen(
            settings.listen.ready, self._answer_ready, "ready"
        )
        await self._listen(
            f"{settings.ip}:{settings.metrics_port}",
            self._answer_metrics,
            "metrics",
        )
        self.context.log.warn(
            "started",
            zone=settings.zone,
            boot=self.context.boot,
            front=settings.listen.front,
            peer=self.context.peer_address,
        )
        components = {
            "log": self.context.log.run,
            "members": self.members.run,
            "operator_feed": self.operator_feed.run,
            "ownership": self.ownership.run,
            "acceptance": self._acceptance.run,
            "connectivity": self.reach.run,
            "member_expiry": self._member_expiry.run,
            "machine_maintenance": self._upkeep.run,
            "settings_reload": self._reloader.run,
        }
        self._tasks = [
            loop.create_task(supervision.keep_running(self.context, name, run))
            for name, run in components.items()
        ]
        await self._stop.wait()
        await self._shut_down(front, peer, ready)

    async def _listen(
        self, address: str, handler, port_name: str = "front"
    ) -> httpserver.HttpServer:
        """Starts an HTTP server at host:port.

        The address may be in use by a former process for a short time, which
        is waited for.

        Args:
          address: host and port.
          handler: answers the requests.
          port_name: which part of the limits for clients the server gets.

        Raises:
          OSError: if the address can't be bound.
        """
        server = httpserver.HttpServer(
            handler,
            self._log_request_error,
            platform_settings.derive_http_limits(
                self.context.settings, port_name
            ),
            clientapi.HEADER_FIELDS,
            functools.partial(self._record_rejected, port_name),
        )
        host, _, port = address.rpartition(":")
        reuse_s = self.context.settings.bounds.addr_reuse_s
        deadline = clock.read_clock() + reuse_s + BIND_SLACK_S
        is_logged = False
        while True:
            try:
                await server.listen(host, int(port))
            except OSError as error:
                is_in_use = error.errno == errno.EADDRINUSE
                if not is_in_use or clock.read_clock() >= deadline:
                    raise
            else:
                break
            if not is_logged:
                self.context.log.warn("address_in_use", address=address)
                is_logged = True
            await asyncio.sleep(BIND_RETRY_S)
        self._servers.append(server)
        return server

    def _log_request_error(self, text: str):
        self.context.log.warn("request_broken", reason=text)

    def _record_rejected(self, port: str, reason: str, count: int):
        """Counts and logs the clients that a server rejected for a reason."""
        self.context.metrics.count(
            f'clients_rejected{{port="{port}",reason="{reason}"}}', count
        )
        # Clients leave idle connections open; closing them tells nothing.
        if reason != "idle":
            self.context.log.warn(
                "clients_rejected", port=port, reason=reason, count=count
            )

    def _reload_settings(self):
        """Reads the settings again and applies what may change, if valid."""
        self._reloader.reload()

    def _apply_settings(self, settings: platform_settings.Settings):
        """Passes changed settings on to what keeps something made of them.

        Bounds and the rest of the limits are read when they are used.
        """
        self.context.store.set_address(settings.store.address)
        self._advisor.set_address(settings.advice)
        self._upkeep.set_address(settings.machines.address)
        self.members.update_weight()

    async def _answer_ready(self, request):
        """Answers the platform's readiness probe."""
        is_ready = (
            self.context.configuration is not None
            and self.ownership.has_read_owners
            and not self.context.is_stopping
            and self.reach.reach is not connectivity.Reach.ISOLATED
        )
        return httpserver.Response(200 if is_ready else 503)

    async def _answer_metrics(self, request):
        """Answers with the metrics, or with an overview for /show."""
        if request.target.startswith("/show"):
            return httpserver.Response(200, overview.render(self).encode())
        measures = self.context.metrics
        measures.set("log_lines_left_out", self.context.log.left_out_total)
        for service, shard in self.ownership.shards.items():
            label = f'{{service="{service}"}}'
            measures.set(f"workers{label}", len(shard.workers))
            measures.set(f"submissions{label}", len(shard.submissions))
            measures.set(f"waiting_steps{label}", len(shard.ready_steps))
        return httpserver.Response(200, measures.render())

    async def _shut_down(self, front, peer, ready):
        """Finishes open requests and releases the owned services.

        The VM accepts connections for ROTATION_DELAY_S, until it is out of
        rotation. Open requests then have until EXIT_MARGIN_S before the end of
        the grace period.
        """
        now = clock.read_clock()
        deadline = now + self.context.settings.bounds.grace_s - EXIT_MARGIN_S
        self.context.is_stopping = True
        self.context.log.warn("stopping", requests=front.busy_connections)
        front.is_closing = True
        release_task = asyncio.get_running_loop().create_task(
            self._release_services(deadline - now)
        )
        await asyncio.sleep(ROTATION_DELAY_S)
        front.stop_listening()
        front.close_idle()
        while clock.read_clock() < deadline:
            if not front.connections and release_task.done():
                break
            front.close_idle()
            await asyncio.sleep(0.05)
        for server in (front, peer, ready):
            server.stop_listening()
        self._log_failed_release(release_task)
        self.context.log.warn("stopped", requests=front.busy_connections)
        self.context.log.flush()

    def _log_failed_release(self, release_task: asyncio.Task):
        """Logs why the services were not released; peers then take over."""
        if not release_task.done():
            self.context.log.warn("release_failed", reason="out of time")
        elif release_task.exception() is not None:
            error = release_task.exception()
            self.context.log.warn(
                "release_failed",
                **context.describe_error(error),
            )

    async def _release_services(self, limit_s: float):
        """Releases the owned services and removes this VM's row.

        Args:
          limit_s: seconds after which it is given up and logged.
        """
        try:
            async with asyncio.timeout(limit_s):
                await self.ownership.release_all()
                await self.members.unregister()
        except TimeoutError:
            self.context.log.warn("release_incomplete", limit_s=limit_s)
