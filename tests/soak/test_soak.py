"""Guards against a soak that can't run, and against faults that break a promise."""

import asyncio

import pytest

from standins.soak.programs import Program
from standins.soak.proxy import Mode, Proxy
from standins.soak.soak import Soak, SoakSize
from standins.soak.wire import ACK, Packet, decode

# Within this duration the seed restarts, suspends and disconnects several programs.
DURATION_S = 6.0
SEED = 1
BLOCK = 100


async def test_short_run_breaks_no_promise(tmp_path):
    size = SoakSize(processes=6, duration_s=DURATION_S, block=BLOCK)
    ledger = await Soak(SEED, size, tmp_path).run()
    assert ledger.breaches == []
    assert ledger.counts["answered"] > 0


def test_a_program_that_ends_by_itself_breaks_a_promise(tmp_path):
    program = Program(
        "control", "127.95.0.1", "127.95.0.1", "dc-a", tmp_path, (), has_faults=False
    )
    assert not program.has_ended_by_itself
    program.start()
    assert not program.has_ended_by_itself
    program.process.kill()
    program.process.wait()
    assert program.has_ended_by_itself
    program.kill()
    assert not program.has_ended_by_itself


def test_packet_decodes_to_itself_and_truncation_is_refused():
    packet = Packet(
        source=(b"abcd", 1), destination=(b"efgh", 2), flags=ACK, seq=3, data=b"xyz"
    )
    assert decode(packet.encode()) == packet
    with pytest.raises(ValueError, match="length"):
        decode(packet.encode()[:-1])


class ProxiedEcho:
    """An echo server behind a proxy."""

    async def open(self):
        self.echo = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        forward = self.echo.sockets[0].getsockname()
        self.proxy = Proxy(("127.0.0.1", 0), forward)
        await self.proxy.open()
        self.address = self.proxy._server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def exchange(self, wait_s=0.2):
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(b"x")
            async with asyncio.timeout(wait_s):
                return await reader.read(1)
        except TimeoutError:
            return None
        finally:
            writer.close()

    async def close(self):
        await self.proxy.close()
        self.echo.close()


@pytest.fixture
async def link():
    opened = ProxiedEcho()
    await opened.open()
    yield opened
    await opened.close()


async def test_proxy_forwards_bytes(link):
    assert await link.exchange(5.0) == b"x"


@pytest.mark.parametrize("mode", [Mode.SILENCE, Mode.NO_REQUESTS, Mode.NO_ANSWERS])
async def test_proxy_drops_bytes(link, mode):
    link.proxy.mode = mode
    assert await link.exchange() is None


async def test_proxy_resets_connections(link):
    reader, writer = await asyncio.open_connection(*link.address)
    writer.write(b"x")
    assert await reader.read(1) == b"x"
    link.proxy.reset()
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
    writer.close()
