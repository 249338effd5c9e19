"""Clients that offer an upgrade to HTTP/2, which HTTP/1.1 allows on any request, send requests with a body.

Breaks: an endpoint gets a request in a form that no client sent, or a request that no client sent at all.
"""

import asyncio
import random
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import HOST, Attempt, Case, Discovery, Endpoint, EndpointConnection, Message, MessageReader
from rig import encode_request, now, run_case, settings

REQUESTS = 40
UPGRADE = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n"


@dataclass
class Sent:
    """A request as its client sent it."""

    first_line: list[str]
    body: bytes
    status: int = 0


class RecordingEndpoint(Endpoint):
    """Keeps every request as it arrived."""

    def __init__(self, name: str, group: int) -> None:
        super().__init__(name, group=group)
        self.messages: list[Message] = []

    def on_attempt(self, connection: EndpointConnection, attempt: Attempt) -> None:
        message = connection.last_message
        assert message is not None
        self.messages.append(message)
        super().on_attempt(connection, attempt)


async def send(case: Case, port: int, number: int, sent: dict[str, Sent]) -> None:
    """Send one request with a body on a connection of its own, and read until its answer is whole."""
    request_class, deadline_ms, key = ("once", 750, "") if number % 2 else ("batch", 2000, f"key-{number}")
    request_id = f"r{number:03d}-{random.getrandbits(32):08x}"
    # The text of every fourth message looks like a request itself.
    text = f"message {number} to +94 77 000 0{number:03d}".encode()
    if number % 4 == 1:
        text = encode_request(f"inner-{request_id}", "once", "POST", 750)
    data = encode_request(request_id, request_class, "POST", deadline_ms, key, text)
    if case.has_trouble:
        data = data.replace(b"Host:", UPGRADE.encode() + b"Host:", 1)
    sent[request_id] = Sent(data.split(b"\r\n", 1)[0].decode().split(" ", 2), text)
    case.record.add(f"{request_id} sent, {request_class}, body {text!r}")
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        messages = MessageReader()
        async with asyncio.timeout(deadline_ms / 1000.0 + 0.5):
            while not sent[request_id].status and (chunk := await reader.read(65536)):
                for message in messages.feed(chunk)[:1]:
                    sent[request_id].status = int(message.first_line[1])
    except (OSError, TimeoutError) as error:
        case.record.add(f"{request_id} {error!r}")
    finally:
        writer.close()
    case.record.add(f"{request_id} got {sent[request_id].status}")


async def play(case: Case) -> None:
    endpoints = [RecordingEndpoint(f"s-{number}", group=1 + number % 2) for number in range(3)]
    for endpoint in endpoints:
        await endpoint.open()
    discovery = Discovery()
    discovery.set(*[endpoint.entry() for endpoint in endpoints])
    await discovery.open()
    proxy = case.proxy("n0")
    proxy.write_config(discovery.address, discovery.document(), settings())
    await proxy.start()
    sent: dict[str, Sent] = {}
    for number in range(REQUESTS):
        await send(case, proxy.port, number, sent)
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    for endpoint in endpoints:
        for message in endpoint.messages:
            request_id = message.headers.get("x-request-id", "")
            case.record.add(f"{request_id} ran at {endpoint.name}, body {message.body!r}", message.last_byte_at)
            original = sent.get(request_id)
            if original is None:
                case.broken(f"{endpoint.name} got {request_id}, which no client sent")
            elif message.body != original.body or message.first_line != original.first_line:
                case.broken(f"{request_id} was sent with {original.body!r} and reached {endpoint.name} with {message.body!r}")
    for request_id, original in sent.items():
        if not original.status:
            case.broken(f"{request_id} got no answer")


run_case(__file__, play)
