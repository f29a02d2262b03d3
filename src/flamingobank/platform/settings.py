"""Read the platform's settings file into the sidecar's settings."""

import socket
import tomllib
from collections.abc import Mapping
from pathlib import Path

from expression import Error, Ok, Result

from flamingobank.core import FailureDomain, NodeId, ServiceName
from flamingobank.loop import Address
from flamingobank.sidecar.settings import Bounds, MachineLimits, SidecarSettings

SETTINGS_VARIABLE = "FLAMINGOBANK_CONFIG"
# Offsets from the first port of the setting `internal-ports`, the ports for traffic
# between nodes.
PEERS_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1


class SettingsFile:
    """A settings file that is read often and decoded only when its text changed."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._text: str | None = None
        self._loaded: Result[SidecarSettings, str] | None = None

    def load(self) -> Result[SidecarSettings, str]:
        """Return the current settings, or a description of the error."""
        try:
            text = self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            return Error(f"{self._path}: {error}")
        if self._loaded is None or text != self._text:
            self._text = text
            self._loaded = _load_text(self._path, text)
        return self._loaded


def parse_address(text: str) -> Address:
    """Parse an address HOST:PORT; raises ValueError for any other text."""
    host, _, port = text.rpartition(":")
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"address is {text!r:.80}, expected HOST:PORT")
    try:
        # A name would be looked up while the event loop waits.
        socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f"host is {host!r:.80}, expected an IPv4 address") from error
    return host, number


def _load_text(path: Path, text: str) -> Result[SidecarSettings, str]:
    try:
        return Ok(_decode(tomllib.loads(text)))
    except tomllib.TOMLDecodeError as error:
        return Error(f"{path}: {error}")
    except (KeyError, TypeError, ValueError, IndexError) as error:
        return Error(f"{path}: missing or malformed field: {error!r}")


def _decode(document: Mapping) -> SidecarSettings:
    # The section "self" of the settings file describes this machine, and
    # "platform.platform" describes the platform's store.
    machine, network = document["self"], document["network"]
    listen = network["listen"]
    bounds = document["terms"]["bounds"]
    first_port = int(network["internal-ports"][0])
    defaults = Bounds()
    return SidecarSettings(
        node_id=NodeId(machine["node-name"]),
        failure_domain=FailureDomain(machine["zone"]),
        service=ServiceName(machine["service"]),
        server=parse_address(machine["application"]),
        callers=parse_address(listen["outbound"]),
        readiness=parse_address(listen["readiness"]),
        control=parse_address(listen["control"]),
        peers=(machine["ip"], first_port + PEERS_PORT_OFFSET),
        metrics=(machine["ip"], first_port + METRICS_PORT_OFFSET),
        store=parse_address(document["platform"]["platform"]["address"]),
        heartbeat_interval_s=float(document["platform"]["heartbeat-interval-s"]),
        bounds=Bounds(
            grace_s=float(bounds.get("grace-s", defaults.grace_s)),
            propagation_s=float(
                bounds.get("config-propagation-s", defaults.propagation_s)
            ),
            retry_ratio=float(bounds.get("budget-ratio", defaults.retry_ratio)),
            retry_window_s=float(
                bounds.get("budget-window-s", defaults.retry_window_s)
            ),
            retry_extra=float(bounds.get("budget-extra-tries", defaults.retry_extra)),
            revocation_s=_decode_revocation(bounds),
            quota_window_s=float(bounds.get("quota-window-s", defaults.quota_window_s)),
            quota_excess_ratio=float(
                bounds.get("quota-excess", defaults.quota_excess_ratio)
            ),
            quota_tolerance=float(
                bounds.get("quota-tolerance", defaults.quota_tolerance)
            ),
        ),
        machine=_decode_machine(machine.get("limits", {})),
    )


def _decode_revocation(bounds: Mapping) -> float | None:
    if not bounds.get("strict-revocation", False) or "revoke-s" not in bounds:
        return None
    return float(bounds["revoke-s"])


def _decode_machine(limits: Mapping) -> MachineLimits:
    memory_mb = limits.get("memory-mb")
    descriptors = limits.get("file-descriptors")
    return MachineLimits(
        None if memory_mb is None else int(memory_mb * 1_000_000),
        None if descriptors is None else int(descriptors),
    )
