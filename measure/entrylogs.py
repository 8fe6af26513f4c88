"""Cost of an entry instance's log lines per packet, as a ratio within one run."""

import asyncio
import os
import statistics
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

from arbutuslift import logs
from arbutuslift.clock import SystemClock
from arbutuslift.entry import EntryInstance
from arbutuslift.logstream import NonBlockingStream
from arbutuslift.protocol.feed import FeedAnswer, StartNews
from arbutuslift.state.flowtags import tag_of
from arbutuslift.state.routingtable import encode_table
from arbutuslift.transport.opensockets import open_packet_socket
from standins.soak.wire import ACK, FIN, SYN, Packet
from tests import builders

from .result import Measure

sys.path.append(str(Path(__file__).resolve().parents[1] / "platform"))

from adapter.lifecycle import LINES_INTERVAL_S, LINES_PER_EVENT  # noqa: E402
from adapter.packets import PlatformCodec  # noqa: E402

FLOWS = 200
REQUESTS = 5
ROUNDS = 30
# The users require that logging adds at most a tenth to the time per packet.
MAX_RATIO = 1.1
SERVICE = (b"\x7f\x0a\x00\x01", 443)
HEAD = b"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: %016x\r\n\r\n"


class Variant:
    """An entry instance and the durations of its rounds."""

    def __init__(self, instance: EntryInstance) -> None:
        self._instance = instance
        self.round_s: list[float] = []

    def run_round(self, datagrams: list[bytes]) -> None:
        """Handle the packets of one round."""
        handle = self._instance._handle
        started_s = time.perf_counter()
        for datagram in datagrams:
            handle(datagram)
        self.round_s.append(time.perf_counter() - started_s)


def measure() -> list[Measure]:
    """Measure the time per packet in alternating rounds with logs on and off."""
    return asyncio.run(_measure())


async def _measure() -> list[Measure]:
    async with AsyncExitStack() as stack:
        _open_logs(stack)
        silent = _instance(stack)
        silent._decisions.log_decision = lambda packet, decision, table: None
        off, on = Variant(silent), Variant(_instance(stack))
        for number in range(ROUNDS):
            datagrams = _make_round(number)
            for variant in (off, on) if number % 2 else (on, off):
                variant.run_round(datagrams)
        count = len(datagrams)
    pairs = zip(on.round_s, off.round_s, strict=True)
    ratio = statistics.median(on_s / off_s for on_s, off_s in pairs)
    return [
        Measure(
            name="entry logs: packet without log lines",
            figure=round(1e6 * statistics.median(off.round_s) / count, 2),
            unit="us",
            note=f"{ROUNDS} rounds of {FLOWS} flows with {REQUESTS} requests each",
        ),
        Measure(
            name="entry logs: cost of a packet with log lines",
            figure=round(ratio, 3),
            unit="ratio to none",
            target=MAX_RATIO,
            passes=ratio <= MAX_RATIO,
            note="median of the ratios of interleaved rounds, at the platform's budget",
        ),
    ]


def _instance(stack: AsyncExitStack) -> EntryInstance:
    packets = open_packet_socket("127.0.0.1", 0)
    stack.callback(packets.close)
    clock = SystemClock()
    settings = builders.entry_settings()
    instance = EntryInstance(
        settings, packets, PlatformCodec(), clock, stack, lambda: None
    )
    starts = [builders.start(number) for number in range(1, 9)]
    answer = FeedAnswer(
        epoch=1,
        position=1,
        is_first=True,
        is_settled=True,
        news=tuple(StartNews(start=start, is_silent=False) for start in starts),
        revision=1,
        table=encode_table(builders.routing_table()),
        controls=(),
        entry_count=1,
    )
    instance._start_receiving = lambda: None
    instance._on_answer("control", answer)
    return instance


def _open_logs(stack: AsyncExitStack) -> None:
    out = os.open(os.devnull, os.O_WRONLY)
    stack.callback(os.close, out)
    logs.configure(
        instance="entry",
        level="info",
        clock=SystemClock(),
        stream=NonBlockingStream(out),
        burst=LINES_PER_EVENT,
        interval_s=LINES_INTERVAL_S,
    )


def _make_round(number: int) -> list[bytes]:
    """Return the packets of many complete flows, from SYN to FIN."""
    datagrams = []
    tag = tag_of(builders.start(1 + number % 8))
    for index in range(FLOWS):
        port = 1024 + number * FLOWS + index
        fields = {"source": (b"\x7f\x14\x00\x09", port), "destination": SERVICE}
        datagrams.append(Packet(flags=SYN, **fields).encode())
        datagrams.append(Packet(flags=ACK, ack=1, echo=tag, **fields).encode())
        for request in range(REQUESTS):
            head = HEAD % (port << 8 | request)
            seq, ack = 1 + request * len(head), 1 + request * 2000
            data = Packet(flags=ACK, seq=seq, ack=ack, echo=tag, data=head, **fields)
            datagrams.append(data.encode())
            done = Packet(flags=ACK, seq=seq, ack=ack + 2000, echo=tag, **fields)
            datagrams.append(done.encode())
        datagrams.append(Packet(flags=ACK | FIN, ack=9, echo=tag, **fields).encode())
    return datagrams
