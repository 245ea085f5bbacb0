"""Parse the settings of a daemon and report all errors at once."""

import re
from collections.abc import Callable
from typing import Any, Final, TypeVar

from expression import Error, Ok, Result
from msgspec import Struct

from arbutusyard.const import ENV_PREFIX

# Minimum length of a shared key, in bytes.
MIN_KEY_BYTES: Final = 16
NAME_PATTERN: Final = r"[a-z0-9][a-z0-9.-]{0,62}"
ADDRESS_PATTERN: Final = r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}"
MAX_PORT: Final = 65_535

T = TypeVar("T", bound=Struct)


class ControlSettings(Struct, frozen=True):
    """Hold the settings of a control daemon."""

    name: str
    region: str
    failure_domain: str
    listen: str
    advertise: str
    rpc_listen: str
    rpc_advertise: str
    admin_listen: str
    platform: str
    peers: tuple[str, ...]
    keys: tuple[bytes, ...]


class EntrySettings(Struct, frozen=True):
    """Hold the settings of an entry daemon."""

    name: str
    region: str
    failure_domain: str
    listen: str
    advertise: str
    admin_listen: str
    control: str
    platform: str
    keys: tuple[bytes, ...]
    keep_s: float
    drain_timeout_s: float
    otlp_endpoint: str


class SettingError(Struct, frozen=True):
    """Hold the name of an invalid setting and the reason."""

    setting: str
    problem: str

    def __str__(self) -> str:
        flag = "--" + self.setting.replace("_", "-")
        return f"{flag} (or {ENV_PREFIX}{self.setting.upper()}): {self.problem}"


def parse_name(value: str) -> str:
    """Return a name; raise ValueError if it is not valid."""
    if not re.fullmatch(NAME_PATTERN, value):
        raise ValueError(f"{value!r} is not a name of letters, digits, '.' and '-'")
    return value


def parse_address(value: str) -> str:
    """Return an IP address with its port; raise ValueError if it is not valid."""
    if not re.fullmatch(ADDRESS_PATTERN, value):
        raise ValueError(f"{value!r} is not an IP address and port such as 10.0.0.1:80")
    host, port = value.rsplit(":", 1)
    if int(port) > MAX_PORT or any(int(octet) > 255 for octet in host.split(".")):
        raise ValueError(f"{value!r} has an octet or port that is out of range")
    return value


def parse_optional_address(value: str) -> str:
    """Return an address, or an empty string if none is given."""
    return parse_address(value) if value else ""


def parse_addresses(value: str) -> tuple[str, ...]:
    """Return the addresses of a comma-separated list."""
    return tuple(
        parse_address(item.strip()) for item in value.split(",") if item.strip()
    )


def parse_keys(value: str) -> tuple[bytes, ...]:
    """Return the keys of a comma-separated list; the first one signs."""
    keys = tuple(item.strip().encode() for item in value.split(",") if item.strip())
    if not 1 <= len(keys) <= 2:
        raise ValueError(f"{len(keys)} keys are given, but 1 or 2 are needed")
    if any(len(key) < MIN_KEY_BYTES for key in keys):
        raise ValueError(f"a key is shorter than {MIN_KEY_BYTES} bytes")
    return keys


def parse_seconds(value: str) -> float:
    """Return a duration of up to a day, in seconds."""
    try:
        number = float(value)
    except ValueError:
        raise ValueError(f"{value!r} is not a number of seconds") from None
    if not 0 <= number <= 86_400:
        raise ValueError(f"{value!r} is not between 0 and 86400 seconds")
    return number


def parse_text(value: str) -> str:
    """Return any text unchanged."""
    return value


CONTROL_PARSERS: Final[dict[str, Callable[[str], Any]]] = {
    "name": parse_name,
    "region": parse_name,
    "failure_domain": parse_name,
    "listen": parse_address,
    "advertise": parse_optional_address,
    "rpc_listen": parse_address,
    "rpc_advertise": parse_optional_address,
    "admin_listen": parse_address,
    "platform": parse_address,
    "peers": parse_addresses,
    "keys": parse_keys,
}
ENTRY_PARSERS: Final[dict[str, Callable[[str], Any]]] = {
    "name": parse_name,
    "region": parse_name,
    "failure_domain": parse_name,
    "listen": parse_address,
    "advertise": parse_optional_address,
    "admin_listen": parse_address,
    "control": parse_address,
    "platform": parse_address,
    "keys": parse_keys,
    "keep_s": parse_seconds,
    "drain_timeout_s": parse_seconds,
    "otlp_endpoint": parse_text,
}


def parse_settings(
    kind: type[T], parsers: dict[str, Callable[[str], Any]], values: dict[str, str]
) -> Result[T, tuple[SettingError, ...]]:
    """Return the settings, or all errors if any value is invalid."""
    parsed: dict[str, Any] = {}
    errors = []
    for setting, parse in parsers.items():
        try:
            parsed[setting] = parse(values[setting])
        except ValueError as exc:
            errors.append(SettingError(setting, str(exc)))
    if errors:
        return Error(tuple(errors))
    return Ok(kind(**parsed))
