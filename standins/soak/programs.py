"""Entry and control programs as child processes, signalled by process id only."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import sysconfig
from pathlib import Path

from attrs import define, field

from .proxy import Proxy

FAULTY = Path(__file__).with_name("faulty.py")
PLATFORM = Path(__file__).resolve().parents[2] / "platform"
PACKET_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
PORTS = (7720, 7735)
BUS_PORT = PORTS[0] + 1
# With -S, Python finds the libraries only through this variable.
LIBRARIES = {"PYTHONPATH": sysconfig.get_path("purelib")}
GRACE_S = 6.0
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")


def write_archive(path: Path) -> None:
    """Write the archive of compiled modules, as the build of a deployment does."""
    command = [sys.executable, "-S", str(PLATFORM), "archive", str(path)]
    subprocess.run(command, env=os.environ | LIBRARIES, check=True)


@define(eq=False)
class Program:
    """One program.

    Attributes:
        role: ``entry`` or ``control``.
        ip: Address of the program.
        listen_ip: Address on which its bus listens; if it differs from ``ip``, a
            control program's bus is reached through a proxy.
        data_centre: Data centre of the program.
        folder: Holds its settings, data and output.
        seeds: Addresses of control programs to join.
        proxy: Forwards connections to its bus; None for entries.
        process: The running process.
        is_bootstrap: Whether the next process may form a cluster.
        has_faults: Whether faults of disk and clock can be injected; otherwise the
            command is the deployed one.
        is_down: Whether it was stopped or killed, or not started yet.
        archive: Archive of compiled modules from which the process starts, if any.
    """

    role: str
    ip: str
    listen_ip: str
    data_centre: str
    folder: Path
    seeds: tuple[str, ...]
    proxy: Proxy | None = None
    process: subprocess.Popen | None = None
    is_bootstrap: bool = True
    has_faults: bool = True
    archive: Path | None = None
    is_down: bool = True
    _fault_file: Path = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._fault_file = self.folder / "fault"

    async def open(self) -> None:
        """Open the proxy, if there is one, and start the process."""
        if self.role == "control" and self.listen_ip != self.ip:
            self.proxy = Proxy((self.ip, BUS_PORT), (self.listen_ip, BUS_PORT))
            await self.proxy.open()
        self.start()

    def start(self) -> None:
        """Write the settings and start a process."""
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self._settings()))
        environment = os.environ | {
            "ARBUTUSLIFT_CONFIG": str(path),
            "SOAK_BUS_LISTEN_IP": self.listen_ip,
            **LIBRARIES,
        }
        with (self.folder / "output").open("ab") as output:
            self.process = subprocess.Popen(
                self._command(),
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.is_bootstrap = False
        self.is_down = False

    @property
    def has_ended_by_itself(self) -> bool:
        """Return whether the process ended without being stopped or killed."""
        return not self.is_down and self.process.poll() is not None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def set_fault(self, fault: str) -> None:
        """Inject a fault of disk or clock; an empty text ends it."""
        self._fault_file.write_text(fault)

    async def stop(self) -> None:
        """Stop the process gracefully and kill it after the grace time."""
        self.is_down = True
        self.signal(signal.SIGTERM)
        for _ in range(int(GRACE_S / 0.05)):
            if self.process.poll() is not None:
                return
            await asyncio.sleep(0.05)
        self.kill()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.is_down = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def close(self) -> None:
        """Kill the process and close the proxy."""
        self.signal(signal.SIGCONT)
        self.kill()
        if self.proxy is not None:
            await self.proxy.close()

    def _command(self) -> list[str]:
        if self.has_faults:
            return [sys.executable, str(FAULTY), self.role, str(self._fault_file)]
        archive = [str(self.archive)] if self.archive else []
        return [sys.executable, "-S", str(PLATFORM), self.role, *archive]

    def _settings(self) -> dict[str, object]:
        entry = {
            "datagram_addr": f"{self.ip}:{PACKET_PORT}",
            "ready": f"{self.ip}:{READY_PORT}",
        }
        control = {"control": f"{self.ip}:{CONTROL_PORT}"}
        is_control = self.role == "control"
        return {
            "node_name": f"{self.role}-{self.ip}",
            "ip": self.ip,
            "zone": self.data_centre,
            "zones": dict.fromkeys(DATA_CENTRES, "region"),
            "listen": control if is_control else entry,
            "port_range": PORTS,
            "seeds": [f"{ip}:{CONTROL_PORT}" for ip in self.seeds],
            "bootstrap": self.is_bootstrap,
            "data_dir": str(self.folder / "data") if is_control else None,
            "heartbeat_ms": 600,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"grace_s": GRACE_S},
        }
