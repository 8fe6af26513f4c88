"""The project's programs as processes, with the commands of the deploy file."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
CONTRACTS = ["base", "drain", "config", "cost", "recover", "flows", "places"]
# A run holds this port of its network as long as it lasts.
RESERVATION_PORT = 7711
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "cold_burst_factor": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "misroute_ms": 2000,
    "max_flow_s": 60,
}


class Net:
    """Addresses and ports of one run: loopback addresses and free ports."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        self.zones = zones
        self._reservation = socket.socket()
        self.block = _reserve(self._reservation)
        self.packets, self.ready, self.control, self.server = _free_ports(self.block, 4)
        first = _free_run(self.block, 16)
        self.port_range = [first, first + 15]

    def ip(self, group: int, number: int) -> str:
        """Return an address."""
        return f"127.{self.block}.{group}.{number}"


class Machine:
    """One machine of the system with the process that runs on it."""

    def __init__(
        self, net: Net, role: str, zone: str, number: int, folder: Path
    ) -> None:
        self.net, self.role, self.zone = net, role, zone
        self.ip = net.ip(1 if role == "control" else 2, number)
        self.name = f"{role}-{zone}-{number}"
        self.folder = folder / self.name
        self.folder.mkdir(parents=True)
        self.seeds: list[str] = []
        self.is_first_start = True
        self.process: subprocess.Popen | None = None

    @property
    def control(self) -> tuple[str, int]:
        """Return the address for targets and operators."""
        return self.ip, self.net.control

    def start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / "settings"
        path.write_text(json.dumps(self._settings()))
        self.is_first_start = False
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["ARBUTUSLIFT_CONFIG"] = str(path)
        with (self.folder / "output").open("ab") as output:
            self.process = subprocess.Popen(
                _command(self.role),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wipe(self) -> None:
        """Remove the disk's files; the process must not run."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def output(self) -> str:
        """Return what the process has written."""
        path = self.folder / "output"
        return path.read_text(errors="replace") if path.exists() else ""

    def _settings(self) -> dict[str, object]:
        net, is_control = self.net, self.role == "control"
        listen = {"control": f"{self.ip}:{net.control}"}
        if not is_control:
            listen = {
                "datagram_addr": f"{self.ip}:{net.packets}",
                "ready": f"{self.ip}:{net.ready}",
            }
        data = self.folder / "data"
        if is_control:
            data.mkdir(exist_ok=True)
        return {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "core" if is_control else "front",
            "serves": ["control" if is_control else "front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": dict.fromkeys(net.zones, "r"),
            "listen": listen,
            "port_range": net.port_range,
            "seeds": self.seeds,
            "bootstrap": self.is_first_start,
            "in_fault_budget": is_control,
            "limits": {
                "cpu_share": 0.645 if is_control else 0.236,
                "cores": 2 if is_control else 1,
                "memory_mb": 296 if is_control else 300,
                "max_fds": 4096,
                "link_mbps": 1000.0,
                "disk_mb": 128 if is_control else 0,
            },
            "data_dir": str(data) if is_control else None,
            "discovery": "registry",
            "entry_kind": "announce",
            "heartbeat_ms": 1200,
            "contracts": CONTRACTS,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "hash_scheme": "steady",
            "forwarding_mode": "echo",
        }


class Fleet:
    """All machines of one run; an asynchronous context that ends them all.

    Attributes:
        late: Number of control machines that the case starts itself.
    """

    def __init__(
        self, net: Net, controls: list[str], entries: list[str], late: int = 0
    ) -> None:
        self.net = net
        self.late = late
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.controls = [
            Machine(net, "control", zone, number + 1, self.folder)
            for number, zone in enumerate(controls)
        ]
        self.entries = [
            Machine(net, "entry", zone, number + 1, self.folder)
            for number, zone in enumerate(entries)
        ]
        self.seeds = [f"{c.ip}:{net.control}" for c in self.controls[:3]]
        for machine in self.machines:
            machine.seeds = self.seeds

    @property
    def machines(self) -> list[Machine]:
        """Return all machines."""
        return [*self.controls, *self.entries]

    async def __aenter__(self) -> "Fleet":
        """Start all machines but the late ones, the last of the control machines."""
        first = len(self.controls) - self.late
        for machine in [*self.controls[:first], *self.entries]:
            machine.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        """End all processes and remove the folder."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        await asyncio.sleep(0)


def _command(role: str) -> list[str]:
    deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
    return deploy["roles"][role]["run"].split()


def _reserve(reservation: socket.socket) -> int:
    """Return the second byte of a loopback network that no other run uses."""
    blocks = list(range(16, 240))
    random.SystemRandom().shuffle(blocks)
    for block in blocks:
        with contextlib.suppress(OSError):
            reservation.bind((f"127.{block}.255.1", RESERVATION_PORT))
            return block
    raise RuntimeError("no free network")


def _free_ports(block: int, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            probe = stack.enter_context(socket.socket())
            probe.bind((f"127.{block}.0.1", 0))
            ports.append(probe.getsockname()[1])
        return ports


def _free_run(block: int, count: int) -> int:
    """Return the first of some consecutive free ports."""
    for first in range(7720, 30_000, count):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + count):
                probe = stack.enter_context(socket.socket())
                probe.bind((f"127.{block}.0.1", port))
            return first
    raise RuntimeError("no free ports")
