"""Take over changed settings, and only good ones."""

from msgspec.structs import replace

from arbutusyard.exceptions import SetupFailed
from arbutusyard.gateway.reload import SettingsWatcher
from tests.gateway.support import SETTINGS


def test_only_good_and_new_settings_are_taken_over():
    found = [SETTINGS, SetupFailed("node is missing"), replace(SETTINGS, revoke_s=3.0)]
    taken = []

    def read():
        item = found.pop(0)
        if isinstance(item, Exception):
            raise item
        return item

    watcher = SettingsWatcher(SETTINGS, read, taken.append)
    for _ in range(3):
        watcher.check()
    assert [cfg.revoke_s for cfg in taken] == [3.0]
