"""Stand-in callers: hold TCP connections and send numbered requests."""

import asyncio
import json

from absl import app, flags
from attrs import asdict, define

from .addresses import parse_address

ANSWER_TIMEOUT_S = 10.0

flags.DEFINE_string("target", None, "ip:port of the service.")
flags.DEFINE_integer("connections", 20, "Connections held at a time.")
flags.DEFINE_integer("requests", 40, "Requests on each connection.")
flags.DEFINE_float("pause_s", 0.3, "Pause between requests of a connection.")


@define
class Counts:
    """What the callers saw.

    Attributes:
        sent: Requests sent.
        answered: Requests answered with their own identifier.
        refused: Connections refused, so that nothing was run.
        unknown: Requests without an answer.
        crossed: Answers to another request.
        broken_flows: Established connections that ended too early.
    """

    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    crossed: int = 0
    broken_flows: int = 0


async def hold_connection(number: int, counts: Counts) -> None:
    """Hold one connection and count what happens on it."""
    settings = flags.FLAGS
    try:
        reader, writer = await asyncio.open_connection(*parse_address(settings.target))
    except OSError:
        counts.refused += 1
        return
    for request in range(settings.requests):
        request_id = f"{number}-{request}"
        writer.write(f"{request_id} lot-check\n".encode())
        counts.sent += 1
        try:
            line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
        except (OSError, TimeoutError):
            line = b""
        if not line:
            counts.unknown += 1
            counts.broken_flows += 1
            return
        if line.split(b" ")[0].decode() == request_id:
            counts.answered += 1
        else:
            counts.crossed += 1
        await asyncio.sleep(settings.pause_s)
    writer.close()


async def serve() -> None:
    """Run all connections and print the counts as one JSON line."""
    counts = Counts()
    async with asyncio.TaskGroup() as group:
        for number in range(flags.FLAGS.connections):
            group.create_task(hold_connection(number, counts))
    print(json.dumps(asdict(counts)), flush=True)


def main(argv: list[str]) -> None:
    """Run the stand-in."""
    del argv
    asyncio.run(serve())


if __name__ == "__main__":
    app.run(main)
