"""Reload of changed settings."""

from msgspec.structs import replace

from arbutusyard.exceptions import SetupFailed
from arbutusyard.gateway.reload import SettingsWatcher
from tests.gateway.support import SETTINGS


def test_only_valid_and_changed_settings_are_applied():
    results = [
        SETTINGS,
        SetupFailed("node is missing"),
        replace(SETTINGS, revoke_s=3.0),
    ]
    applied = []

    def read():
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    watcher = SettingsWatcher(SETTINGS, read, applied.append)
    for _ in range(3):
        watcher.check()
    assert [cfg.revoke_s for cfg in applied] == [3.0]
