"""Spread of the first new flows after all processes lost their power at once."""

import asyncio
import random
import re
import socket
import statistics
import struct
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

from attrs import define, frozen

from standins.soak.ledger import Ledger
from standins.soak.operators import Operator
from standins.soak.programs import (
    CONTROL_PORT,
    DATA_CENTRES,
    PACKET_PORT,
    Program,
)
from standins.soak.targets import Target

from .result import Measure, at_most

LOSSES = 4
TARGETS = 24
SERVICES = ("alerts", "archive")
HOST = "198.18.0.1"
FEATURES = ("may_use_restored_starts", "are_syns_hedged")
ENTRY = Path(__file__).with_name("loadedentry.py")
# Longer than the instances need to save the starts and to settle.
RUNNING_S = 4.0
DOWN_S = 0.5
# About as many as the lines of one event that an entry instance logs at once.
SYNS = 60
SYN_INTERVAL_S = 0.005
POLL_S = 0.05
LIMIT_S = 10.0
HEADER = struct.Struct(">4s4sHHHIIBBII")
SYN_FLAG = 16
NEW_FLOW = re.compile(r"event=new_flow .*?upstream=(\S+)")


@define(eq=False)
class LoadedEntry(Program):
    """An entry program with load features.

    Attributes:
        features: Their names.
    """

    features: tuple[str, ...] = ()

    def _command(self) -> list[str]:
        return [sys.executable, "-S", str(ENTRY), *self.features]


@frozen(kw_only=True)
class FirstFlows:
    """The first new flows after one loss.

    Attributes:
        unused: Upstreams that got none of the logged new flows.
        most: New flows of the upstream that got most.
        refused: Logged SYNs that were refused.
    """

    unused: int
    most: int
    refused: int


def measure() -> list[Measure]:
    """Kill all processes several times, without and with the features."""
    with tempfile.TemporaryDirectory() as folder:
        before, after = asyncio.run(_measure(Path(folder)))
    unused = "upstreams without one of the first new flows after a loss"
    note = f"median of {LOSSES} losses, {TARGETS} upstreams"
    return [
        Measure(
            name=f"{unused}, announced starts only",
            figure=statistics.median(item.unused for item in before),
            unit="upstreams",
            note=note,
        ),
        at_most(
            f"{unused}, with restored starts",
            max(item.unused for item in after),
            "upstreams",
            0,
        ),
        *(
            Measure(
                name=f"{name} after a loss, {state}",
                figure=statistics.median(getattr(item, field) for item in items),
                unit="SYNs",
                note=note,
            )
            for name, field in (
                ("most at one upstream", "most"),
                ("refused", "refused"),
            )
            for state, items in (("announced only", before), ("restored", after))
        ),
    ]


async def _measure(folder: Path) -> tuple[list[FirstFlows], list[FirstFlows]]:
    async with AsyncExitStack() as stack:
        seeds = tuple(f"127.97.0.{number + 1}" for number in range(3))
        addresses = [f"{ip}:{CONTROL_PORT}" for ip in seeds]
        controls = [
            Program("control", ip, ip, zone, folder / ip, seeds, has_faults=False)
            for ip, zone in zip(seeds, DATA_CENTRES, strict=True)
        ]
        ip, zone = "127.97.1.1", DATA_CENTRES[0]
        entry = LoadedEntry("entry", ip, ip, zone, folder / ip, seeds)
        for program in controls:
            stack.push_async_callback(program.close)
            await program.open()
        stack.push_async_callback(entry.close)
        ledger = Ledger()
        for number in range(TARGETS):
            rng = random.Random(number)
            ip = f"127.97.2.{number + 1}"
            target = Target(ip, SERVICES[0], zone, addresses, PACKET_PORT, ledger, rng)
            await target.open()
            stack.callback(target.crash)
        await Operator(addresses, SERVICES, HOST, ledger, random.Random(1)).put()
        results: tuple[list[FirstFlows], list[FirstFlows]] = ([], [])
        for _ in range(LOSSES):
            for items, features in zip(results, ((), FEATURES), strict=True):
                entry.features = features
                items.append(await _lose_all(controls, entry))
        return results


async def _lose_all(controls: list[Program], entry: LoadedEntry) -> FirstFlows:
    """Kill all programs, start them again and send SYNs to the entry."""
    entry.start()
    await asyncio.sleep(RUNNING_S)
    for program in (*controls, entry):
        program.kill()
    await asyncio.sleep(DOWN_S)
    output = entry.folder / "output"
    output.unlink()
    for program in (*controls, entry):
        program.start()
    await _send_syns(entry.ip)
    async with asyncio.timeout(LIMIT_S):
        while "event=configuration_in_effect" not in output.read_text():
            await asyncio.sleep(POLL_S)
    await asyncio.sleep(DOWN_S)
    entry.kill()
    text = output.read_text()
    flows = Counter(NEW_FLOW.findall(text))
    return FirstFlows(
        unused=TARGETS - len(flows),
        most=max(flows.values(), default=0),
        refused=text.count("event=refused_no_upstream"),
    )


async def _send_syns(ip: str) -> None:
    """Send SYNs of different callers, anew until the socket is bound."""
    service = socket.inet_aton(HOST)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.connect((ip, PACKET_PORT))
        sent = 0
        while sent < SYNS:
            await asyncio.sleep(SYN_INTERVAL_S)
            caller, port = bytes([100, 64, 0, sent]), 2000 + sent
            fields = (service, caller, 443, port, 0, 0, 0, SYN_FLAG, 0, 1, 0)
            try:
                sender.send(HEADER.pack(*fields))
            except ConnectionRefusedError:
                sent = 0
                continue
            sent += 1
