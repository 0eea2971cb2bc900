"""Tests of the settings of an entry VM."""

import unittest

from persimmonpath import errors
from persimmonpath_daemon import settings

VALID_SETTINGS = """
vm = "entry-1"
zone = "zone-a"
http = {port = 8080}
peer = {port = 8081}
platform = {url = "http://127.0.0.1:8090"}
"""


class SettingsTest(unittest.TestCase):
    def test_printed_defaults_are_valid_and_complete(self):
        """Guards against a setting that is missing in the printed file."""
        text = settings.format_defaults()
        printed = settings.parse_settings(text)
        self.assertEqual(printed, settings.parse_settings(VALID_SETTINGS))
        comments = " ".join(text.replace("\n# ", " ").split())
        for model in (
            settings.Settings,
            settings.Address,
            settings.PlatformSettings,
            settings.ThreadSettings,
            settings.LogSettings,
        ):
            for name, field in model.model_fields.items():
                self.assertIn(name, text)
                self.assertIn(" ".join(field.description.split()), comments)

    def test_every_fault_is_named_with_its_range(self):
        text = VALID_SETTINGS.replace("8080", "0").replace("entry-1", "Entry 1")
        text += "colour = 1\nthreads = {http = 1}\nlog = {level = 'loud'}\n"
        with self.assertRaises(errors.InputError) as caught:
            settings.parse_settings(text)
        message = str(caught.exception)
        for part in (
            "vm: ",
            "http.port: ",
            "from 1 to 65535",
            "threads.http: ",
            "from 16 to 1024",
            "log.level: ",
            "one of debug, info, warning, error",
            "colour: ",
            "object with the fields vm, zone",
        ):
            self.assertIn(part, message)

    def test_missing_sections_are_all_named(self):
        with self.assertRaises(errors.InputError) as caught:
            settings.parse_settings("")
        for name in ("vm", "zone", "http", "peer", "platform"):
            self.assertIn(f"{name}: Field required", str(caught.exception))

    def test_one_address_for_both_interfaces_is_rejected(self):
        with self.assertRaises(errors.InputError):
            settings.parse_settings(VALID_SETTINGS.replace("8081", "8080"))

    def test_text_that_is_not_toml_is_rejected(self):
        with self.assertRaises(errors.InputError):
            settings.parse_settings("vm = ")
