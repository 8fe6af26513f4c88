"""Simulated callers, which hold TCP connections and send numbered requests."""

import asyncio
import json

from absl import app, flags
from attrs import asdict, define, field

from .addresses import parse_address
from .fabric import OPENED, REFUSED

ANSWER_TIMEOUT_S = 10.0
REFUSED_RETRY_S = 0.5

flags.DEFINE_string("target", None, "ip:port of the service.")
flags.DEFINE_integer("connections", 20, "Connections held at a time.")
flags.DEFINE_integer("requests", 40, "Requests on each connection.")
flags.DEFINE_float("pause_s", 0.3, "Pause between requests of a connection.")
flags.DEFINE_integer("rounds", 1, "Connections that each caller opens in turn.")


@define
class Second:
    """Counts of the requests sent in one second."""

    sent: int = 0
    answered: int = 0


@define
class Counts:
    """Counts of what the callers observed.

    Attributes:
        sent: Requests sent.
        answered: Requests answered with their own identifier.
        refused: Refused connections, on which no request ran; they are retried.
        not_opened: Connections whose SYN got no answer.
        unknown: Requests without an answer.
        crossed: Answers with the identifier of another request.
        broken_flows: Established connections that ended too early.
        seconds: Counts by the second in which the request was sent.
    """

    sent: int = 0
    answered: int = 0
    refused: int = 0
    not_opened: int = 0
    unknown: int = 0
    crossed: int = 0
    broken_flows: int = 0
    seconds: list[Second] = field(factory=list)

    def second_at(self, elapsed_s: float) -> Second:
        """Return the counts of the second that ``elapsed_s`` falls in."""
        while len(self.seconds) <= int(elapsed_s):
            self.seconds.append(Second())
        return self.seconds[int(elapsed_s)]


async def run_caller(number: int, counts: Counts) -> None:
    """Open connections in turn and count what happens on them."""
    started_s = asyncio.get_running_loop().time()
    for round_number in range(flags.FLAGS.rounds):
        await hold_connection(
            f"{flags.FLAGS.target}-{number}-{round_number}", counts, started_s
        )


async def hold_connection(label: str, counts: Counts, started_s: float) -> None:
    """Hold one connection and count what happens on it."""
    settings = flags.FLAGS
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(*parse_address(settings.target))
    while (handshake := await reader.readline()) == REFUSED:
        counts.refused += 1
        writer.close()
        await asyncio.sleep(REFUSED_RETRY_S)
        reader, writer = await asyncio.open_connection(*parse_address(settings.target))
    if handshake != OPENED:
        counts.not_opened += 1
        writer.close()
        return
    for request in range(settings.requests):
        request_id = f"{label}-{request}"
        second = counts.second_at(loop.time() - started_s)
        counts.sent += 1
        second.sent += 1
        line = await _exchange(request_id, reader, writer)
        if not line:
            counts.unknown += 1
            counts.broken_flows += 1
            return
        if line.split(b" ")[0].decode() == request_id:
            counts.answered += 1
            second.answered += 1
        else:
            counts.crossed += 1
        await asyncio.sleep(settings.pause_s)
    writer.close()


async def _exchange(
    request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bytes:
    """Send one request and return the answer, or empty bytes without one."""
    try:
        writer.write(f"{request_id} lot-check\n".encode())
        return await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
    except (OSError, TimeoutError):
        return b""


async def serve() -> None:
    """Run all callers and print the counts as one JSON line."""
    counts = Counts()
    async with asyncio.TaskGroup() as group:
        for number in range(flags.FLAGS.connections):
            group.create_task(run_caller(number, counts))
    print(json.dumps(asdict(counts)), flush=True)


def main(argv: list[str]) -> None:
    """Run the stand-in."""
    del argv
    asyncio.run(serve())


if __name__ == "__main__":
    app.run(main)
