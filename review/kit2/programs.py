"""Entry and control programs with the commands of the deploy file."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zona-a", "zona-b", "zona-c")
PACKET_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
PORT_RANGE = (7720, 7735)
GRACE_S = 6.0
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


def reserve_block() -> tuple[int, socket.socket]:
    """Return the second byte of a free loopback network, and what reserves it.

    The socket is held for the whole run, so that no other run takes the network.
    """
    for _ in range(100):
        block = random.randrange(60, 250)
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{block}.250.1", CONTROL_PORT))
            for port in (CONTROL_PORT, PORT_RANGE[0], PORT_RANGE[1]):
                with socket.socket() as sock:
                    sock.bind((f"127.{block}.0.1", port))
            return block, reservation
        except OSError:
            reservation.close()
    raise OSError("no free loopback network")


class Program:
    """One program on a machine of its own address.

    Args:
        role: ``entry`` or ``control``.
        ip: Address of the machine.
        zone: Its zone.
        seeds: Addresses of the seeds.
        folder: Folder for settings, disk and output.
    """

    def __init__(
        self, role: str, ip: str, zone: str, seeds: list[str], folder: Path
    ) -> None:
        self.role = role
        self.ip = ip
        self.zone = zone
        self.seeds = seeds
        self.folder = folder
        self.is_bootstrap = True
        self.process: subprocess.Popen | None = None
        folder.mkdir(parents=True)
        (folder / "data").mkdir()

    @property
    def name(self) -> str:
        """Return the name of the machine."""
        return f"{self.role}-{self.zone}-{self.ip}"

    def start(self) -> None:
        """Render the settings and start the process."""
        path = self.folder / "boot.json"
        path.write_text(json.dumps(self.settings()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"][self.role]["run"])
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["ARBUTUSLIFT_CONFIG"] = str(path)
        with (self.folder / "output").open("ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def settings(self) -> dict[str, object]:
        """Return the fields of the settings file."""
        is_control = self.role == "control"
        listen = {"control": f"{self.ip}:{CONTROL_PORT}"}
        if not is_control:
            listen = {
                "datagram_addr": f"{self.ip}:{PACKET_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            }
        return {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "core" if is_control else "front",
            "serves": ["control" if is_control else "front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "sur",
            "zones": dict.fromkeys(ZONES, "sur"),
            "listen": listen,
            "port_range": list(PORT_RANGE),
            "seeds": [f"{ip}:{CONTROL_PORT}" for ip in self.seeds],
            "bootstrap": self.is_bootstrap,
            "in_fault_budget": is_control,
            "limits": {
                "cpu_share": 0.645 if is_control else 0.236,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 128 if is_control else 0,
            },
            "data_dir": str(self.folder / "data") if is_control else None,
            "discovery": "registry",
            "entry_kind": "announce",
            "heartbeat_ms": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "flows",
                "places",
            ],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "hash_scheme": "steady",
            "forwarding_mode": "echo",
        }

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.is_running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        for _ in range(int(GRACE_S / 0.02)):
            if not self.is_running:
                break
            await asyncio.sleep(0.02)
        self.kill()

    def wipe(self) -> None:
        """Empty the disk; a later start isn't the first of the whole system."""
        shutil.rmtree(self.folder / "data")
        (self.folder / "data").mkdir()
        self.is_bootstrap = False


class Fleet:
    """All programs of a small deployment.

    Args:
        entries_per_zone: Number of entry programs in each zone.
    """

    def __init__(self, entries_per_zone: int = 2) -> None:
        self.block, self._reservation = reserve_block()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        seeds = [self.address(0, n) for n in range(len(ZONES))]
        self.controls = [
            Program("control", ip, zone, seeds, self.folder / f"control-{n}")
            for n, (ip, zone) in enumerate(zip(seeds, ZONES, strict=True))
        ]
        self.entries = [
            Program(
                "entry",
                self.address(1, n),
                ZONES[n % len(ZONES)],
                seeds,
                self.folder / f"entry-{n}",
            )
            for n in range(entries_per_zone * len(ZONES))
        ]

    def address(self, group: int, number: int) -> str:
        """Return a loopback address."""
        return f"127.{self.block}.{group}.{number + 1}"

    def add_control(self, zone: str) -> Program:
        """Return a further control program, which isn't started yet."""
        number = len(self.controls)
        seeds = self.controls[0].seeds
        folder = self.folder / f"control-{number}"
        added = Program("control", self.address(0, number), zone, seeds, folder)
        added.is_bootstrap = False
        self.controls.append(added)
        return added

    @property
    def programs(self) -> list[Program]:
        """Return all programs."""
        return [*self.controls, *self.entries]

    def start(self) -> None:
        """Start all programs."""
        for program in self.programs:
            program.start()
            # Only the first start of the whole system is one with empty disks.
            program.is_bootstrap = False

    def close(self) -> None:
        """End all programs and remove their files."""
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.kill()
        self._reservation.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder, file=sys.stderr)
