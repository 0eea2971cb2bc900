"""The command `persimmond`."""

import os
import pathlib
import signal
import sys
import threading

from absl import logging
import cyclopts

from persimmonpath import errors
from persimmonpath import router as router_module
from persimmonpath import timers
from persimmonpath_daemon import grpcpeers
from persimmonpath_daemon import httpapi
from persimmonpath_daemon import node as node_module
from persimmonpath_daemon import servicer
from persimmonpath_daemon import settings as settings_module

EXIT_BAD_INPUT = 2
EXIT_BROKEN = 70

app = cyclopts.App(name="persimmond", help="Entry VM of a persimmonpath cell.")

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def _load(path: pathlib.Path) -> settings_module.Settings:
    try:
        return settings_module.load_settings(path)
    except errors.InputError as error:
        print(f"persimmond: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)


def _stop_broken(error: BaseException) -> None:
    logging.error("event=invariant_broken error=%s", error)
    os._exit(EXIT_BROKEN)


@app.command
def check(file: pathlib.Path) -> None:
    """Check a settings file and change nothing."""
    settings = _load(file)
    print(f"ok: vm={settings.vm} zone={settings.zone}")


@app.default
def run(file: pathlib.Path) -> None:
    """Serve with a settings file until SIGTERM."""
    settings = _load(file)
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[settings.log_level])
    entry = node_module.create_entry(
        settings,
        timers.create_real_timers(_stop_broken),
        node_module.Executors(settings.threads),
    )
    router = router_module.create_router(entry)
    peer_server = grpcpeers.create_server(
        servicer.PeerServicer(entry),
        str(settings.peer),
        settings.threads.peer,
    )
    counter = node_module.CallCounter(httpapi.Application(entry, router))
    http_server = httpapi.create_server(
        counter,
        str(settings.http.host),
        settings.http.port,
        settings.threads.http,
    )
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    http_server.prepare()
    peer_server.start()
    entry.start()
    threading.Thread(target=http_server.serve, daemon=True).start()
    logging.info(
        "event=started vm=%s zone=%s http=%s peer=%s",
        settings.vm,
        settings.zone,
        settings.http,
        settings.peer,
    )
    stopping.wait()
    node_module.leave(entry, counter, settings.notice_s, settings.drain_s)
    http_server.stop()
    peer_server.stop(2.0).wait()
    logging.info("event=stopped vm=%s", settings.vm)
    sys.stdout.flush()
    os._exit(0)


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
