"""Main job as separate processes: callers, fabric, instances and upstreams."""

import json
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from contextlib import ExitStack
from pathlib import Path

import yaml

DATA_CENTRES = ("madrid-1", "madrid-2", "madrid-3")
INSTANCES_PER_DATA_CENTRE = 3
FABRIC = "127.0.0.1:7400"
RETURNS = "127.0.0.1:7401"
SERVICES = {
    "alerts": ("127.10.0.1", 7, "urgent"),
    "dossiers": ("127.10.0.2", 3, "ordinary"),
}
SERVICE_PORT = 8443
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0


class Processes:
    """Processes started by the demo; all are ended when the stack closes."""

    def __init__(self, stack: ExitStack, folder: Path) -> None:
        self._stack = stack
        self._folder = folder

    def start(self, label: str, module: str, **options: object) -> subprocess.Popen:
        """Start a module with flags; its output goes to a file in the folder."""
        arguments = [f"--{name}={value}" for name, value in options.items()]
        log = self._stack.enter_context((self._folder / f"{label}.log").open("w"))
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
        )
        self._stack.callback(_end, process)
        return process


def _end(process: subprocess.Popen) -> None:
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def write_document(folder: Path) -> Path:
    """Write the configuration of the demo and return its path."""
    services = [
        {
            "name": name,
            "address": address,
            "port": SERVICE_PORT,
            "kind": name,
            "priority": priority,
        }
        for name, (address, _, priority) in SERVICES.items()
    ]
    centres = [
        {
            "name": centre,
            "instances": [f"{centre}-{n}" for n in range(INSTANCES_PER_DATA_CENTRE)],
        }
        for centre in DATA_CENTRES
    ]
    path = folder / "document.yaml"
    path.write_text(yaml.safe_dump({"services": services, "data_centres": centres}))
    return path


def start_instances(processes: Processes, document: Path) -> list[subprocess.Popen]:
    """Start the entry instances."""
    started = []
    for number in range(len(DATA_CENTRES) * INSTANCES_PER_DATA_CENTRE):
        centre = DATA_CENTRES[number // INSTANCES_PER_DATA_CENTRE]
        name = f"{centre}-{number % INSTANCES_PER_DATA_CENTRE}"
        process = processes.start(
            name,
            "arbutuslift.daemon",
            name=name,
            data_centre=centre,
            listen=f"127.0.0.1:{7100 + number}",
            fabric=FABRIC,
            announcements=f"127.0.0.1:{7200 + number}",
            document=document,
        )
        started.append(process)
    return started


def start_upstreams(processes: Processes) -> list[subprocess.Popen]:
    """Start the upstreams of both services."""
    count = len(DATA_CENTRES) * INSTANCES_PER_DATA_CENTRE
    urls = [f"http://127.0.0.1:{7200 + n}/v1/announcements" for n in range(count)]
    started = []
    for group, (service, (address, size, _)) in enumerate(SERVICES.items()):
        for number in range(size):
            process = processes.start(
                f"{service}-{number}",
                "standins.upstream",
                upstream_name=f"{service}-{number}",
                upstream_data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                upstream_listen=f"127.20.{group}.{number + 1}:6081",
                service=service,
                service_address=f"{address}:{SERVICE_PORT}",
                work_kinds=service,
                announce=",".join(urls),
                return_path=RETURNS,
            )
            started.append(process)
    return started


def wait_for_announcement_endpoints() -> None:
    """Wait until every instance answers on its announcement endpoint."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    for number in range(len(DATA_CENTRES) * INSTANCES_PER_DATA_CENTRE):
        url = f"http://127.0.0.1:{7200 + number}/v1/announcements"
        while not _answers(url):
            if time.monotonic() > deadline_s:
                raise SystemExit(f"demo: no answer from {url}")
            time.sleep(0.1)


def _answers(url: str) -> bool:
    try:
        urllib.request.urlopen(url, timeout=1.0)
    except urllib.error.HTTPError:
        return True
    except OSError:
        return False
    return True


def main() -> int:
    """Run the demo, print one closing line and return the exit code."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        processes = Processes(stack, folder)
        document = write_document(folder)
        instances = start_instances(processes, document)
        wait_for_announcement_endpoints()
        addresses = [f"127.0.0.1:{7100 + n}" for n in range(len(instances))]
        processes.start(
            "fabric",
            "standins.fabric",
            fabric_listen=FABRIC,
            returns=RETURNS,
            instances=",".join(addresses),
            services=document,
        )
        upstreams = start_upstreams(processes)
        time.sleep(3.0)
        callers = [
            processes.start(
                f"callers-{service}",
                "standins.caller",
                target=f"{address}:{SERVICE_PORT}",
            )
            for service, (address, _, _) in SERVICES.items()
        ]
        time.sleep(3.0)
        instances[0].send_signal(signal.SIGTERM)
        time.sleep(2.0)
        upstreams[0].send_signal(signal.SIGUSR1)
        for process in callers:
            process.wait()
        totals: dict[str, int] = {}
        for service in SERVICES:
            lines = (folder / f"callers-{service}.log").read_text().splitlines()
            for name, value in json.loads(lines[-1]).items():
                totals[name] = totals.get(name, 0) + value
    print(" ".join(f"{name}={value}" for name, value in totals.items()))
    failed = totals["broken_flows"] or totals["crossed"] or not totals["answered"]
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
