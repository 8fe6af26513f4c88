"""A complete deployment as child processes on loopback addresses."""

import json
import shutil
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections import Counter
from contextlib import ExitStack
from http import HTTPStatus
from pathlib import Path
from typing import Any

import yaml
from attrs import define, field, frozen

FABRIC = "127.0.0.1:7400"
RETURNS = "127.0.0.1:7401"
SERVICE_PORT = 8443
LISTEN_PORT = 7100
ANNOUNCEMENT_PORT = 7200
BUS_PORT = 7300
MEMBER_COUNT = 3
ANNOUNCEMENTS_PER_UPSTREAM = 2
COMMAND_TIMEOUT_S = 60.0

# Age that upstreams announce. It exceeds the warm-up time, so that they count as warm.
UPSTREAM_AGE_S = 3600.0
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0


@frozen
class ServiceSize:
    """A service and the number of its upstreams."""

    name: str
    address: str
    upstream_count: int
    priority: str


@frozen
class Size:
    """Size of a deployment.

    Attributes:
        data_centres: Names of the data centres.
        instances_per_data_centre: Entry instances in each.
        services: The services.
    """

    data_centres: tuple[str, ...]
    instances_per_data_centre: int
    services: tuple[ServiceSize, ...]


AGENCIA = Size(
    ("madrid-1", "madrid-2", "madrid-3"),
    3,
    (
        ServiceSize("alerts", "127.10.0.1", 7, "urgent"),
        ServiceSize("dossiers", "127.10.0.2", 3, "ordinary"),
    ),
)


@frozen
class Instance:
    """A running entry instance."""

    name: str
    data_centre: str
    number: int
    process: subprocess.Popen

    @property
    def listen(self) -> str:
        """Address that receives packets."""
        return f"127.0.0.1:{LISTEN_PORT + self.number}"

    @property
    def bus(self) -> str:
        """Name and address of the bus, in the form of settings and client."""
        return f"{self.name}=127.0.0.1:{BUS_PORT + self.number}"

    @property
    def url(self) -> str:
        """Base URL of the HTTP endpoint."""
        return f"http://127.0.0.1:{ANNOUNCEMENT_PORT + self.number}"


@frozen
class Upstream:
    """A running stand-in upstream."""

    name: str
    data_centre: str
    process: subprocess.Popen


@define
class Deployment:
    """Processes of one deployment; closing the stack terminates them.

    Args:
        size: Size of the deployment.
        folder: Holds the document, logs and data folders.
        stack: Terminates the processes when it closes.
    """

    size: Size
    folder: Path
    stack: ExitStack
    instances: list[Instance] = field(factory=list)
    upstreams: list[Upstream] = field(factory=list)
    processes: list[subprocess.Popen] = field(factory=list)

    def start(self) -> None:
        """Start instances, fabric and upstreams; wait until the instances are ready."""
        for number in range(self._instance_count()):
            self.instances.append(self.start_instance(number))
        for instance in self.instances:
            self._wait_for_status(instance.url + "/v1/health")
        document = self.write_document()
        self.control("apply", str(document), "--expected_revision=0")
        for instance in self.instances:
            self._wait_for_status(instance.url + "/v1/health", HTTPStatus.OK)
        self._start_fabric(document)
        for group, service in enumerate(self.size.services):
            for number in range(service.upstream_count):
                self.upstreams.append(self.start_upstream(group, service, number))

    def control(self, *arguments: str) -> dict[str, Any]:
        """Run ``arbutusliftctl`` and return its JSON answer.

        Raises:
            RuntimeError: The command failed.
        """
        command = self.start_control(*arguments)
        output, errors = command.communicate(timeout=COMMAND_TIMEOUT_S)
        if command.returncode:
            raise RuntimeError(f"{arguments}: {output}{errors}")
        return json.loads(output)

    def start_control(self, *arguments: str) -> subprocess.Popen:
        """Start ``arbutusliftctl`` with JSON output."""
        servers = ",".join(instance.bus for instance in self.instances[:MEMBER_COUNT])
        command = [sys.executable, "-m", "arbutuslift.ctl", *arguments]
        return subprocess.Popen(
            [*command, f"--servers={servers}", "--output=json"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def write_document(self, warm_up_s: float = 30.0) -> Path:
        """Write the configuration and return its path."""
        services = [
            {
                "name": service.name,
                "address": service.address,
                "port": SERVICE_PORT,
                "kind": service.name,
                "priority": service.priority,
                "warm_up_s": warm_up_s,
            }
            for service in self.size.services
        ]
        centres = [
            {"name": centre, "instances": self._names_in(centre)}
            for centre in self.size.data_centres
        ]
        path = self.folder / "document.yaml"
        content = {"services": services, "data_centres": centres}
        path.write_text(yaml.safe_dump(content))
        return path

    def start_instance(self, number: int) -> Instance:
        """Start one entry instance; the first of each data centre is a member."""
        name, centre = self._place(number)
        options = {}
        if name in self._member_names():
            options["data_folder"] = self.folder / f"{name}.data"
            options["data_folder"].mkdir(exist_ok=True)
        process = self.start_process(
            name,
            "arbutuslift.daemon",
            name=name,
            data_centre=centre,
            listen=f"127.0.0.1:{LISTEN_PORT + number}",
            fabric=FABRIC,
            announcements=f"127.0.0.1:{ANNOUNCEMENT_PORT + number}",
            bus=f"127.0.0.1:{BUS_PORT + number}",
            seeds=",".join(self._member_buses()),
            members=",".join(self._member_names()),
            **options,
        )
        return Instance(name, centre, number, process)

    def restart_instance(self, number: int) -> None:
        """Start a stopped instance again and wait until it is ready."""
        self.instances[number] = self.start_instance(number)
        self._wait_for_status(self.instances[number].url + "/v1/health", HTTPStatus.OK)

    def wipe(self, number: int) -> None:
        """Remove the data folder of a stopped member."""
        shutil.rmtree(self.folder / f"{self.instances[number].name}.data")

    def start_upstream(self, group: int, service: ServiceSize, number: int) -> Upstream:
        """Start one stand-in upstream."""
        name = f"{service.name}-{number}"
        centre = self.size.data_centres[number % len(self.size.data_centres)]
        local = [i for i in self.instances if i.data_centre == centre]
        announced_to = [local[(number + n) % len(local)] for n in range(len(local))]
        urls = [
            f"{instance.url}/v1/announcements"
            for instance in announced_to[:ANNOUNCEMENTS_PER_UPSTREAM]
        ]
        process = self.start_process(
            name,
            "standins.upstream",
            upstream_name=name,
            upstream_data_centre=centre,
            upstream_listen=f"127.20.{group}.{number + 1}:6081",
            service=service.name,
            service_address=f"{service.address}:{SERVICE_PORT}",
            work_kinds=service.name,
            announce=",".join(urls),
            return_path=RETURNS,
            age_s=UPSTREAM_AGE_S,
        )
        return Upstream(name, centre, process)

    def start_callers(self, service: ServiceSize, **options: object) -> "Callers":
        """Start stand-in callers of one service."""
        label = f"callers-{service.name}"
        target = f"{service.address}:{SERVICE_PORT}"
        process = self.start_process(label, "standins.caller", target=target, **options)
        return Callers(process, self.folder / f"{label}.log")

    def last_packet_s(self, centre: str, start_s: float, end_s: float) -> float:
        """Return when an upstream of a data centre last received a packet, to 0.1 s.

        Args:
            centre: The data centre.
            start_s: Returned without a later packet; seconds since the Unix epoch.
            end_s: Later packets are ignored.
        """
        seconds = [start_s]
        for upstream in self.upstreams:
            if upstream.data_centre == centre:
                log = (self.folder / f"{upstream.name}.log").read_text()
                seconds += [
                    float(line.removeprefix("received "))
                    for line in log.splitlines()
                    if line.startswith("received ")
                ]
        return max(second for second in seconds if second <= end_s)

    def doubled_requests(self) -> int:
        """Return the number of repeated runs of requests, over all upstreams."""
        runs: Counter[str] = Counter()
        for upstream in self.upstreams:
            log = self.folder / f"{upstream.name}.log"
            runs.update(
                line.removeprefix("ran ")
                for line in log.read_text().splitlines()
                if line.startswith("ran ")
            )
        return sum(count - 1 for count in runs.values())

    def start_process(
        self, label: str, module: str, **options: object
    ) -> subprocess.Popen:
        """Start a module with flags and write its output to a file in the folder."""
        arguments = [f"--{name}={value}" for name, value in options.items()]
        log = self.stack.enter_context((self.folder / f"{label}.log").open("a"))
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
        )
        if not self.processes:
            self.stack.callback(self._terminate_all)
        self.processes.append(process)
        return process

    def _terminate_all(self) -> None:
        """Terminate all processes, all at once so that they drain in parallel."""
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _start_fabric(self, document: Path) -> None:
        self.start_process(
            "fabric",
            "standins.fabric",
            fabric_listen=FABRIC,
            returns=RETURNS,
            instances=",".join(instance.listen for instance in self.instances),
            health=",".join(f"{i.url}/v1/health" for i in self.instances),
            services=document,
        )

    def _instance_count(self) -> int:
        return len(self.size.data_centres) * self.size.instances_per_data_centre

    def _place(self, number: int) -> tuple[str, str]:
        """Return the name and data centre of an instance.

        Consecutive numbers are in different data centres, and so are the members.
        """
        centres = self.size.data_centres
        centre = centres[number % len(centres)]
        return self._names_in(centre)[number // len(centres)], centre

    def _member_names(self) -> list[str]:
        return [self._place(number)[0] for number in range(MEMBER_COUNT)]

    def _member_buses(self) -> list[str]:
        return [
            f"{name}=127.0.0.1:{BUS_PORT + number}"
            for number, name in enumerate(self._member_names())
        ]

    def _names_in(self, centre: str) -> list[str]:
        count = self.size.instances_per_data_centre
        return [f"{centre}-{number}" for number in range(count)]

    def _wait_for_status(self, url: str, status: int | None = None) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while (answer := _status_of(url)) is None or status not in (None, answer):
            if time.monotonic() > deadline_s:
                raise RuntimeError(f"{url} answers {answer}; logs: {self.folder}")
            time.sleep(0.1)


@frozen
class Callers:
    """Running stand-in callers."""

    process: subprocess.Popen
    log: Path

    def result(self) -> dict[str, object]:
        """Wait for the end of the callers and return their counts."""
        self.process.wait()
        return json.loads(self.log.read_text().splitlines()[-1])


def freeze(instance: Instance) -> None:
    """Suspend an instance by SIGSTOP."""
    instance.process.send_signal(signal.SIGSTOP)


def resume(instance: Instance) -> None:
    """Resume a frozen instance."""
    instance.process.send_signal(signal.SIGCONT)


def drain(upstream: Upstream) -> None:
    """Make a stand-in upstream announce the state draining."""
    upstream.process.send_signal(signal.SIGUSR1)


def stop(instance: Instance) -> None:
    """Stop an instance gracefully by SIGTERM."""
    instance.process.send_signal(signal.SIGTERM)


def kill(instance: Instance) -> None:
    """Kill an instance by SIGKILL."""
    instance.process.kill()


def _status_of(url: str) -> int | None:
    """Return the status of an HTTP answer, or None if there is none."""
    try:
        with urllib.request.urlopen(url, timeout=1.0) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return None
