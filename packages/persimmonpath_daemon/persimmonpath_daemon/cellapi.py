"""HTTP calls for operators: configuration, zones, VMs, metrics, health."""

import json
import re

from returns import result

from persimmonpath import acceptance
from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import rules
from persimmonpath import sessions
from persimmonpath import wire
from persimmonpath_daemon import bodies
from persimmonpath_daemon import instrumentation
from persimmonpath_daemon import replies

MAX_HISTORY = 100
DEFAULT_HISTORY = 20


class CellApi:
    """Handlers of the operators' calls."""

    def __init__(
        self,
        entry: entry_module.EntryVm,
        instruments: instrumentation.Instruments,
    ):
        """Creates the handlers of an entry VM."""
        self._entry = entry
        self._instruments = instruments

    def list_routes(self) -> list[replies.Route]:
        """Returns the routes of these handlers."""
        rows = [
            ("config_show", "GET", r"/v1/config", self._show_config),
            ("config_commit", "POST", r"/v1/config", self._commit_config),
            (
                "config_history",
                "GET",
                r"/v1/config/history",
                self._show_history,
            ),
            ("config_status", "GET", r"/v1/config/status", self._show_status),
            ("zones", "GET", r"/v1/zones", self._show_zones),
            ("vms", "GET", r"/v1/vms", self._show_vms),
            ("metrics", "GET", r"/metrics", self._show_metrics),
            ("healthz", "GET", r"/healthz", self._check_health),
            ("readyz", "GET", r"/readyz", self._check_ready),
        ]
        return [
            replies.Route(name, method, re.compile(path), handle)
            for name, method, path, handle in rows
        ]

    def _show_config(self, call: replies.Call) -> replies.Reply:
        del call
        config = self._entry.applied.config
        return replies.Reply(200, json.loads(wire.encode(config)))

    def _commit_config(self, call: replies.Call) -> replies.Reply:
        parsed = replies.parse_body(bodies.ConfigBody, call.body)
        try:
            rules.ensure_known_names(parsed.rules, parsed.inventory)
        except errors.InputError as error:
            raise replies.CallError(
                400,
                "unknown_zone",
                error.field,
                replies.get_message(error),
                error.allowed,
            ) from error
        try:
            reply = self._entry.commit_config(
                parsed.based_on, parsed.author, parsed.inventory, parsed.rules
            )
        except errors.InputError as error:
            raise replies.CallError(
                400,
                "not_changeable",
                error.field,
                replies.get_message(error),
                error.allowed,
            ) from error
        if isinstance(reply, result.Failure):
            return replies.describe_table_error(reply.failure())
        return _describe_acceptance(reply.unwrap())

    def _show_history(self, call: replies.Call) -> replies.Reply:
        limit = replies.read_limit(call, DEFAULT_HISTORY, MAX_HISTORY)
        reply = self._entry.config_store.read_history(limit)
        if isinstance(reply, result.Failure):
            return replies.describe_table_error(reply.failure())
        versions = [
            {
                "version": record.version,
                "based_on": record.based_on,
                "author": record.author,
                "digest": record.digest,
            }
            for record in reply.unwrap()
        ]
        return replies.Reply(200, {"versions": versions})

    def _show_status(self, call: replies.Call) -> replies.Reply:
        del call
        applied = {"applied_here": self._entry.applied.config.version}
        current = self._entry.config_store.read_current()
        if isinstance(current, result.Failure):
            return replies.describe_table_error(current.failure(), **applied)
        record = current.unwrap()
        version = record.version if record else 0
        status = self._entry.read_config_status(version)
        if isinstance(status, result.Failure):
            return replies.describe_table_error(status.failure(), **applied)
        reply = _describe_acceptance(status.unwrap())
        return replies.Reply(reply.status, {**reply.body, **applied})

    def _show_zones(self, call: replies.Call) -> replies.Reply:
        del call
        inventory = self._entry.applied.config.inventory
        observer = self._entry.observer
        zones = []
        for zone in inventory.zones:
            workers = [w for w in inventory.workers if w.zone == zone.name]
            shards = [s for s in inventory.list_shards() if s.zone == zone.name]
            zones.append(
                {
                    "name": zone.name,
                    "region": zone.region,
                    "workers": len(workers),
                    "draining": sum(w.draining for w in workers),
                    "vms": len(observer.list_sessions(zone.name)),
                    "live_vms": len(observer.list_live(zone.name)),
                    "shards": [
                        {"index": s.index, "owner": self._find_owner_vm(s)}
                        for s in shards
                    ],
                }
            )
        body = {"seen_by": self._entry.identity.vm, "zones": zones}
        return replies.Reply(200, body)

    def _find_owner_vm(self, shard: identifiers.ShardId) -> str | None:
        if self._entry.find_owned(shard):
            return self._entry.identity.vm
        address = self._entry.find_owner_address(shard)
        for session in self._entry.observer.list_sessions(shard.zone):
            if address is not None and session.peer_address == address:
                return session.vm
        return None

    def _show_vms(self, call: replies.Call) -> replies.Reply:
        del call
        observer = self._entry.observer
        vms = [
            {
                "vm": session.vm,
                "zone": session.zone,
                "state": _describe_state(observer, session),
                "config_version": session.config_version,
                "http_address": session.http_address,
            }
            for session in observer.list_sessions()
        ]
        body = {"seen_by": self._entry.identity.vm, "vms": vms}
        return replies.Reply(200, body)

    def _show_metrics(self, call: replies.Call) -> replies.Reply:
        del call
        text = self._instruments.registry.format_text()
        return replies.Reply(200, text, replies.TEXT)

    def _check_health(self, call: replies.Call) -> replies.Reply:
        del call
        return replies.Reply(200, {"healthy": True})

    def _check_ready(self, call: replies.Call) -> replies.Reply:
        del call
        ready = self._entry.is_ready()
        return replies.Reply(200 if ready else 503, {"ready": ready})


def _describe_state(
    observer: sessions.SessionObserver, session: sessions.SessionRecord
) -> str:
    if session.state is sessions.SessionState.CLOSED:
        return session.state.value
    return "lapsed" if observer.has_lapsed(session) else session.state.value


def _describe_acceptance(status: acceptance.Status) -> replies.Reply:
    match status:
        case acceptance.Accepted(version):
            body = {"outcome": "accepted", "version": version}
            return replies.Reply(200, body)
        case acceptance.Pending(version, zones, vms):
            body = {
                "outcome": "pending",
                "version": version,
                "awaited_zones": list(zones),
                "awaited_vms": list(vms),
            }
            return replies.Reply(200, body)
    body = {
        "error": "conflict",
        "outcome": "conflict",
        "field": "based_on",
        "message": f"version {status.version} of {status.author} won",
        "allowed": str(status.version),
        "version": status.version,
        "author": status.author,
    }
    return replies.Reply(409, body)
