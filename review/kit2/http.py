"""One HTTP call on a connection of its own."""

import asyncio
import json


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 1.0,
) -> tuple[int, bytes] | None:
    """Return status and body of the answer, None without one."""
    content = b"" if body is None else body
    if not isinstance(content, bytes):
        content = json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
        "Connection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head.encode() + content)
            await writer.drain()
            answer = await reader.read(-1)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    start, _, rest = answer.partition(b"\r\n\r\n")
    words = start.split(b" ", 2)
    if len(words) < 2 or not words[1].isdigit():
        return None
    return int(words[1]), rest
