"""Entry and control programs as child processes, started as the deploy file says."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from contextlib import suppress
from pathlib import Path

from . import http
from .record import Record

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
START_TIMEOUT_S = 25.0
END_TIMEOUT_S = 8.0
PORTS_OF_SYSTEM = 16
# Bounds of the small installations.
CONTACT_S = 4.0
HEARTBEAT_S = 1.2
CONTRACTS = ("base", "drain", "config", "cost", "recover", "flows", "places")
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


class CaseError(Exception):
    """The case couldn't run."""


class Program:
    """One program of the system.

    Args:
        role: ``entry`` or ``control``.
        ip: Loopback address of its machine.
        zone: Zone of its machine.
        folder: Holds its settings, data and output.
    """

    def __init__(self, role: str, ip: str, zone: str, folder: Path) -> None:
        self.role = role
        self.ip = ip
        self.zone = zone
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        folder.mkdir(parents=True)

    def start(self, command: list[str], settings: dict[str, object]) -> None:
        """Write the settings and start the process."""
        path = self.folder / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ARBUTUSLIFT_CONFIG"] = str(path)
        with (self.folder / "output").open("ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process, also a stopped one, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            with suppress(subprocess.TimeoutExpired):
                self.process.wait(END_TIMEOUT_S)


class Deployment:
    """Programs of a small installation on loopback addresses.

    Args:
        folder: Temporary folder.
        record: Record of the case.
        entries: Number of entry programs, spread over the zones.
        contracts: Contracts in force beside those of all installations.
    """

    def __init__(
        self,
        folder: Path,
        record: Record,
        entries: int,
        contracts: tuple[str, ...] = (),
    ) -> None:
        self.record = record
        self._contracts = [*CONTRACTS, *contracts]
        self._block = _free_block()
        first = _free_ports(self.ip(0, 1))
        self._port_range = [first, first + PORTS_OF_SYSTEM - 1]
        self.packet_port = first + PORTS_OF_SYSTEM
        self.ready_port = first + PORTS_OF_SYSTEM + 1
        self.control_port = first + PORTS_OF_SYSTEM + 2
        self.target_port = first + PORTS_OF_SYSTEM + 3
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self._commands = {
            role: row["run"].split() for role, row in deploy["roles"].items()
        }
        self.controls = [
            Program("control", self.ip(0, n + 1), zone, folder / f"control-{n + 1}")
            for n, zone in enumerate(ZONES)
        ]
        self.entries = [
            Program(
                "entry",
                self.ip(1, n + 1),
                ZONES[n % len(ZONES)],
                folder / f"entry-{n + 1}",
            )
            for n in range(entries)
        ]

    @property
    def programs(self) -> list[Program]:
        """Return all programs."""
        return [*self.controls, *self.entries]

    @property
    def control_addresses(self) -> list[str]:
        """Return the addresses at which targets and operators call the system."""
        return [self.address_of(program) for program in self.controls]

    def address_of(self, control: Program) -> str:
        """Return the address at which a control program is called."""
        return f"{control.ip}:{self.control_port}"

    def ip(self, group: int, number: int) -> str:
        """Return a loopback address of this case."""
        return f"127.{self._block}.{group}.{number}"

    def start(self) -> None:
        """Start all programs."""
        for program in self.programs:
            if not (ROOT / "target" / "start").exists():
                raise CaseError("the build of the deploy file hasn't run")
            self._start(program, is_bootstrap=True)

    def restart(self, program: Program) -> None:
        """Start a program again, whose disk is as it was."""
        self._start(program, is_bootstrap=False)

    def _start(self, program: Program, *, is_bootstrap: bool) -> None:
        settings = self._settings(program) | {"bootstrap": is_bootstrap}
        program.start(self._commands[program.role], settings)
        self.record.write(
            "program_started", role=program.role, ip=program.ip, zone=program.zone
        )

    async def wait_until_ready(self) -> None:
        """Wait until all entry programs say that they are ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > end_s:
                    raise CaseError(f"entry {entry.ip} isn't ready")
                await asyncio.sleep(0.1)
        self.record.write("entries_ready", count=len(self.entries))

    async def is_ready(self, entry: Program) -> bool:
        """Return whether an entry program says that it is ready."""
        address = f"{entry.ip}:{self.ready_port}"
        answer = await http.call(address, "GET", "/ready", timeout_s=0.5)
        return answer is not None and answer.status == 200

    def check_running(self) -> None:
        """Record each program that has ended by itself."""
        for program in self.programs:
            code = program.process.poll() if program.process else None
            if code is not None:
                self.record.write_breach(
                    "Own ends", f"{program.role} {program.ip} ended with {code}"
                )

    def close(self) -> None:
        """End all programs."""
        for program in self.programs:
            program.kill()

    def _settings(self, program: Program) -> dict[str, object]:
        is_control = program.role == "control"
        listen = (
            {"control": f"{program.ip}:{self.control_port}"}
            if is_control
            else {
                "datagram_addr": f"{program.ip}:{self.packet_port}",
                "ready": f"{program.ip}:{self.ready_port}",
            }
        )
        return {
            "node_name": program.folder.name,
            "role": program.role,
            "machine_class": "core" if is_control else "front",
            "serves": ["control" if is_control else "front"],
            "ip": program.ip,
            "zone": program.zone,
            "region": "region-a",
            "zones": dict.fromkeys(ZONES, "region-a"),
            "listen": listen,
            "port_range": self._port_range,
            "seeds": self.control_addresses,
            "bootstrap": True,
            "in_fault_budget": is_control,
            "limits": {
                "cpu_share": 0.645 if is_control else 0.236,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 128 if is_control else 0,
            },
            "data_dir": str(program.folder / "data") if is_control else None,
            "discovery": "registry",
            "entry_kind": "announce",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": self._contracts,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "hash_scheme": "steady",
            "forwarding_mode": "echo",
        }


def _free_block() -> int:
    """Return the second byte of a loopback network that no other case is likely on."""
    return random.SystemRandom().randrange(40, 250)


def _free_ports(ip: str) -> int:
    """Return the first of enough ports that are free on an address."""
    rng = random.SystemRandom()
    for _ in range(50):
        first = rng.randrange(20_000, 30_000)
        if all(_is_free(ip, first + n) for n in range(PORTS_OF_SYSTEM + 4)):
            return first
    raise CaseError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True
