"""Command line against the operators' service over real ZeroMQ buses."""

import json
from pathlib import Path

import pytest
import yaml

from arbutuslift.clock import SystemClock
from arbutuslift.commands.environment import Environment
from arbutuslift.commands.options import parse
from arbutuslift.commands.outcome import ExitCode
from arbutuslift.coordination.dissemination.loadserver import LoadServer
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.coordination.operators import OperatorsService
from arbutuslift.ctl import execute
from arbutuslift.protocol.channel import Channel
from arbutuslift.transport.keys import AllowedKeys, create_key_files, load_key_pair
from arbutuslift.transport.zmqbus import Security, ZmqBus, endpoint_of_address

from . import builders
from .fakes import FakeStore


class Server:
    """Member ``m1`` on loopback, and clients that send requests to it.

    Args:
        folder: Folder of keys: ``server`` holds the server's keys and the public keys
            of allowed clients, ``client`` the clients' keys and the server's public
            key.
        kind: ``plain`` or ``curve``.
    """

    def __init__(self, folder, kind):
        self.folder = folder
        self.kind = kind
        self.store = FakeStore()
        self.senders = set()
        self.output = []
        for name in ("server", "client"):
            (folder / name).mkdir()
        create_key_files(folder / "server", "m1")
        self._copy("m1", "server", "client")
        for name in ("operator-ana", "operator-unknown"):
            create_key_files(folder / "client", name)
        self._copy("operator-ana", "client", "server")
        security = None
        if kind == "curve":
            security = Security(
                keys=load_key_pair(folder / "server" / "m1.key_secret"),
                allowed=AllowedKeys(folder / "server"),
            )
        self.bus = ZmqBus("m1", security)

    def _copy(self, name, source, target):
        content = (self.folder / source / f"{name}.key").read_bytes()
        (self.folder / target / f"{name}.key").write_bytes(content)

    async def open(self):
        await self.bus.open("tcp://127.0.0.1:0")
        OperatorsService(
            Channel(self.bus), SystemClock(), store=self.store, members=lambda: ["m1"]
        )
        answer = self.bus.handler

        async def note_sender(sender, body):
            self.senders.add(sender)
            return await answer(sender, body)

        self.bus.handler = note_sender

    async def run(self, *words, key="operator-ana"):
        words = [*words, f"--servers=m1={self.bus.endpoint.removeprefix('tcp://')}"]
        if self.kind == "curve":
            words.append(f"--curve_key_file={self.folder}/client/{key}.key_secret")
            words.append(f"--server_keys_folder={self.folder}/client")
        return await run(words, self.output)


async def run(words, output):
    environment = Environment(
        clock=SystemClock(), write=output.append, note=lambda text: None
    )
    return await execute(["arbutusliftctl", *words, "--output=json"], environment)


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "document.yaml"
    path.write_text(yaml.safe_dump(builders.document_dict()))
    return str(path)


@pytest.fixture(params=["plain", "curve"])
async def server(request, tmp_path):
    server = Server(tmp_path, request.param)
    await server.open()
    yield server
    await server.bus.close()


async def test_commands_reach_a_server(server, path):
    """Guards against a client that can't create its bus or whose name is refused."""
    assert await server.run("status") == ExitCode.DONE
    assert await server.run("apply", path, "--expected_revision=0") == ExitCode.DONE
    assert await server.run("show") == ExitCode.DONE
    shown = json.loads(server.output[-1])["result"]
    assert shown["revision"] == 1
    assert shown["document"]["services"][0]["name"] == "alerts"
    if server.kind == "curve":
        assert server.senders == {"operator-ana"}


@pytest.mark.parametrize("server", ["curve"], indirect=True)
async def test_a_client_with_an_unknown_key_is_ignored(server, path):
    """Guards against a server that answers clients without an allowed key."""
    words = ("apply", path, "--expected_revision=0", "--timeout_s=0.3")
    assert await server.run(*words, key="operator-unknown") == ExitCode.UNREACHABLE
    assert server.senders == set()
    assert server.store.revisions == []
    assert await server.run("status") == ExitCode.DONE


async def test_a_control_instance_without_operators_service_shows_its_load():
    """Guards against a bus, whose peers are named by address, that refuses clients."""
    bus = ZmqBus("127.0.0.1:1", allow_plain=True, endpoint_of=endpoint_of_address)
    starts = StartRegistry(SystemClock(), 1.0, lambda: None)
    server = LoadServer(Channel(bus), SystemClock(), starts, controls=tuple)
    server.registry.receive(
        "e1", builders.load_report(services=(builders.service_demand(rejected=2),))
    )
    await bus.open("tcp://127.0.0.1:0")
    output = []
    servers = f"--servers=c1={bus.endpoint.removeprefix('tcp://')}"
    try:
        assert await run(["load", servers], output) == ExitCode.DONE
    finally:
        await bus.close()
    (row,) = json.loads(output[-1])["result"]["rows"]
    assert (row["service"], row["rejected_per_s"]) == ("alerts", 2.0)


REMOTE = "--servers=m1=192.0.2.1:7300"
KEY = "--curve_key_file={0}/operator-ana.key_secret"
KEYS = "--server_keys_folder={0}"
USAGE_ERRORS = [
    ([REMOTE], "--curve_key_file is missing: m1 can't be asked in clear text"),
    ([REMOTE, KEYS], "--server_keys_folder needs --curve_key_file"),
    ([REMOTE, KEY], "--server_keys_folder is missing"),
    ([REMOTE, KEY, KEYS + "/none"], "isn't a folder"),
    ([REMOTE, KEY, KEYS], "has no key of m1"),
    ([REMOTE, "--curve_key_file={0}/none.key_secret", KEYS], "none.key_secret"),
    (
        [REMOTE, "--curve_key_file={0}/operator-ana.key", KEYS],
        "must be called NAME.key_secret",
    ),
    ([REMOTE, "--curve_key_file={0}/open.key_secret", KEYS], "readable by others"),
]


@pytest.mark.parametrize(("words", "reason"), USAGE_ERRORS)
async def test_unusable_keys_are_usage_errors(tmp_path, monkeypatch, words, reason):
    """Guards against clear text to remote servers, and time-outs after wrong flags."""
    monkeypatch.delenv("ARBUTUSLIFT_CURVE_KEY_FILE", raising=False)
    monkeypatch.delenv("ARBUTUSLIFT_SERVER_KEYS_FOLDER", raising=False)
    for name in ("operator-ana", "open"):
        create_key_files(tmp_path, name)
    (tmp_path / "open.key_secret").chmod(0o644)
    output = []
    words = ["status", *(word.format(tmp_path) for word in words)]
    assert await run(words, output) == ExitCode.USAGE
    assert reason in json.loads(output[-1])["message"]


def test_a_flag_takes_precedence_over_its_variable():
    environment = {
        "ARBUTUSLIFT_CURVE_KEY_FILE": "a.key_secret",
        "ARBUTUSLIFT_SERVER_KEYS_FOLDER": "keys",
    }
    options = parse(["arbutusliftctl", "--server_keys_folder=other"], environment)
    assert options.curve_key_file == Path("a.key_secret")
    assert options.server_keys_folder == Path("other")


async def test_create_key_keeps_an_existing_key(tmp_path):
    """Guards against a second run that replaces a key that is in use."""
    words = ["create-key", "operator-ana", str(tmp_path)]
    assert await run(words, []) == ExitCode.DONE
    secret = (tmp_path / "operator-ana.key_secret").read_bytes()
    assert await run(words, []) == ExitCode.USAGE
    assert (tmp_path / "operator-ana.key_secret").read_bytes() == secret
    assert await run([*words, "--overwrite"], []) == ExitCode.DONE
    assert (tmp_path / "operator-ana.key_secret").read_bytes() != secret
