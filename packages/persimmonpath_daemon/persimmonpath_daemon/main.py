"""Entry point of the daemon `persimmond`."""

import functools
import os
import pathlib
import resource
import signal
import sys
import threading
from typing import Annotated

import cyclopts

from persimmonpath import errors
from persimmonpath import events
from persimmonpath import httplimits
from persimmonpath import invariants
from persimmonpath import router as router_module
from persimmonpath import timers
from persimmonpath_daemon import grpcpeers
from persimmonpath_daemon import httpapi
from persimmonpath_daemon import httpserver
from persimmonpath_daemon import instrumentation
from persimmonpath_daemon import logs
from persimmonpath_daemon import node as node_module
from persimmonpath_daemon import servicer
from persimmonpath_daemon import settings as settings_module

EXIT_BAD_INPUT = 2
EXIT_CANNOT_LISTEN = 69
EXIT_INVARIANT_BROKEN = 70
PEER_STOP_S = 2.0
# Shares of the descriptors for connections of callers and of other entry VMs.
CALLER_SHARE = 1 / 2
PEER_SHARE = 1 / 8

app = cyclopts.App(
    name="persimmond", help="Run an entry VM of a persimmonpath cell."
)


def _load(path: pathlib.Path) -> settings_module.Settings:
    try:
        return settings_module.load_settings(path)
    except errors.InputError as error:
        print(
            f"persimmond: {error} (allowed: {error.allowed})", file=sys.stderr
        )
        sys.exit(EXIT_BAD_INPUT)


def _exit_on_invariant_error(error: BaseException) -> None:
    events.log_error("invariant_broken", error=error)
    os._exit(EXIT_INVARIANT_BROKEN)


@app.command
def check(file: pathlib.Path) -> None:
    """Validate a settings file and exit."""
    settings = _load(file)
    print(f"ok: vm={settings.vm} zone={settings.zone}")


@app.default
def run(
    file: pathlib.Path | None = None,
    *,
    print_defaults: Annotated[bool, cyclopts.Parameter(negative=())] = False,
) -> None:
    """Run the entry VM until SIGTERM or SIGINT.

    Args:
        file: The settings file.
        print_defaults: Print a settings file with all defaults, and exit.
    """
    if print_defaults:
        print(settings_module.format_defaults(), end="")
        return
    if file is None:
        print("persimmond: no settings file given", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    _serve(_load(file))


def _serve(settings: settings_module.Settings) -> None:
    logs.configure(settings.log.level)
    invariants.subscribe(_exit_on_invariant_error)
    timer_service = timers.create_real_timers(_exit_on_invariant_error)
    instruments = instrumentation.create_instruments(
        settings.log.spans, timer_service
    )
    entry = node_module.create_entry(
        settings,
        timer_service,
        node_module.Executors(settings.threads),
        instruments,
    )
    application = httpapi.Application(
        entry,
        router_module.create_router(entry),
        instruments,
        settings.threads.http - settings_module.RESERVED_HTTP_THREADS,
        settings.clients.body_budget_bytes,
    )
    counter = node_module.CallCounter(application)
    http_server = httpserver.create_server(
        counter,
        str(settings.http.host),
        settings.http.port,
        settings.threads.http,
        settings.client_timeout_s,
        httplimits.HttpLimits(
            head_bytes=settings.clients.head_bytes,
            head_lines=settings.clients.head_lines,
            target_bytes=settings.clients.target_bytes,
            head_s=settings.clients.head_s,
            body_s=settings.clients.body_s,
            connections=_limit_connections(
                settings.clients.connections, CALLER_SHARE
            ),
        ),
        settings.clients.waiting,
    )
    http_server.on_rejected = functools.partial(
        instruments.http_calls.increment, "rejected"
    )
    peer_servicer = servicer.PeerServicer(entry, instruments.tracer)
    stopping = _catch_signals()
    peer_server = _listen(settings, http_server, peer_servicer)
    entry.start()
    threading.Thread(target=http_server.serve, daemon=True).start()
    events.log_info(
        "started",
        vm=settings.vm,
        zone=settings.zone,
        http=settings.http,
        peer=settings.peer,
    )
    stopping.wait()
    node_module.shut_down(entry, counter, settings.notice_s, settings.drain_s)
    http_server.stop()
    peer_server.stop(PEER_STOP_S).wait()
    events.log_info("stopped", vm=settings.vm)
    sys.stdout.flush()
    # Threads that wait for an unresponsive worker must not delay the exit.
    os._exit(0)


def _limit_connections(most: int, share: float) -> int:
    """Returns the limit for the connections of an address.

    Args:
        most: The limit of the settings.
        share: Its share of the descriptors of the process. The rest is for the
            platform, other entry VMs and workers.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(most, int(descriptors * share))


def _catch_signals() -> threading.Event:
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    return stopping


def _listen(settings, http_server, peer_servicer):
    """Binds both addresses and starts the peer server, or exits."""
    address = settings.http
    try:
        http_server.prepare()
        address = settings.peer
        peer_server = grpcpeers.create_server(
            peer_servicer,
            str(settings.peer),
            settings.threads.peer,
            _limit_connections(settings.peer_connections, PEER_SHARE),
        )
    except (OSError, RuntimeError, errors.InputError) as error:
        events.log_error("cannot_listen", address=address, error=error)
        os._exit(EXIT_CANNOT_LISTEN)
    peer_server.start()
    return peer_server


def main() -> None:
    """Runs the command line."""
    try:
        app(exit_on_error=False)
    except cyclopts.CycloptsError:
        # cyclopts has printed the message already.
        sys.exit(EXIT_BAD_INPUT)


if __name__ == "__main__":
    main()
