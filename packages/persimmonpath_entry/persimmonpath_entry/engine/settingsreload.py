"""Applies changes of the settings file while the process runs.

The platform replaces the file with or without SIGHUP, so it is polled as well.
"""

import asyncio
from collections.abc import Callable
import pathlib

import msgspec

from persimmonpath_entry.engine import context
from persimmonpath_entry.platform import settings as platform_settings

POLL_S = 1.0
# A changed file that is read twice alike after this time isn't being written
# any more. It may be written in place.
SETTLE_S = 0.1
# Fields of the settings that are applied to a running process.
APPLIED_FIELDS = ("advice", "bounds", "limits", "machines", "store")


class SettingsReloader:
    """Reads the settings file again and applies what may change."""

    def __init__(
        self,
        node: context.Context,
        on_changed: Callable[[platform_settings.Settings], None],
    ):
        """Creates the reloader.

        The present content of the file is taken for the settings in use.

        Args:
          node: the context of the process, whose settings are changed.
          on_changed: called with the settings after a change.
        """
        self._node = node
        self._on_changed = on_changed
        self._path = platform_settings.find_path()
        self._content = self._read()
        # Settings that differ from those of the process, by name, so that each
        # value is logged once.
        self._logged: dict[str, object] = {}

    def _read(self) -> bytes | None:
        """Returns the content of the file, None if it can't be read."""
        try:
            return pathlib.Path(self._path).read_bytes()
        except OSError:
            return None

    async def run(self):
        """Polls the file until cancelled; returns if there is none."""
        while self._path:
            await asyncio.sleep(POLL_S)
            content = self._read()
            if content == self._content:
                continue
            await asyncio.sleep(SETTLE_S)
            if self._read() == content:
                self.reload()

    def reload(self):
        """Reads the file and applies it, if it is valid."""
        self._content = self._read()
        settings = platform_settings.load_settings(self._path)
        if isinstance(settings, list):
            self._node.log.warn("reload_failed", reason="; ".join(settings))
            return
        present = self._node.settings
        changed = []
        for field in msgspec.structs.fields(platform_settings.Settings):
            former = getattr(present, field.name)
            value = getattr(settings, field.name)
            if value == former:
                continue
            if field.name in APPLIED_FIELDS:
                setattr(present, field.name, value)
                changed.append(field.encode_name)
            else:
                self._log_unchangeable(field.encode_name, former, value)
        if changed:
            self._on_changed(present)
        self._node.log.warn("reloaded", changed=",".join(changed) or "none")

    def _log_unchangeable(self, name: str, former, value):
        """Logs a setting that applies only after a restart."""
        if isinstance(value, msgspec.Struct):
            for field in msgspec.structs.fields(type(value)):
                nested = getattr(value, field.name)
                if nested != getattr(former, field.name):
                    self._log_unchangeable(
                        f"{name}.{field.encode_name}", None, nested
                    )
            return
        if self._logged.get(name) == value:
            return
        self._logged[name] = value
        self._node.log.warn("setting_needs_restart", name=name)
