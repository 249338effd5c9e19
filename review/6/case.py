"""Bad clients send four requests at once, 16 KB in all, and go; the platform kills a proxy that is over its memory.

Breaks: the proxy goes over its memory limit and is killed.
"""

import asyncio
import random
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import HOST, CannotRun, Case, Client, Discovery, Endpoint, Proxy
from rig import encode_request, open_loop, run_case, settings

MEMORY_MB = 192
DESCRIPTORS = 1024
BAD_CLIENTS = 500  # in each wave
WAVES = 3
REQUESTS = 4
FIELDS = 950  # README allows 1,024 fields and 16 KiB in a head
MIB = 1024 * 1024


def much(number: int) -> bytes:
    """Return what a bad client sends: GET requests in good form, each with many short header fields."""
    data = b""
    for request in range(REQUESTS):
        request_id = f"b{number}-{request}-{random.getrandbits(32):x}"
        data += encode_request(request_id, "check", "GET", 1000)[:-2] + b"a:\r\n" * FIELDS + b"\r\n"
    return data


def memory_bytes(proxy: Proxy) -> int:
    """Return the resident memory of a proxy; 0 if it has ended."""
    assert proxy.process is not None
    try:
        lines = Path(f"/proc/{proxy.process.pid}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(line.split()[1]) * 1024 for line in lines if line.startswith("VmRSS")), 0)


async def play_wave(port: int, wave: int) -> None:
    """Connect all bad clients, then let them send all that they have at once, and go."""
    loop = asyncio.get_running_loop()
    clients = []
    for number in range(BAD_CLIENTS):
        client = socket.socket()
        client.setblocking(False)
        clients.append((client, much(wave * BAD_CLIENTS + number)))
        try:
            await loop.sock_connect(client, (HOST, port))
        except OSError:
            continue
    await asyncio.sleep(0.3)
    for client, data in clients:
        try:
            client.send(data)
        except OSError:  # the proxy has closed the connection, or could not accept it
            continue
    await asyncio.sleep(1.0)
    for client, _ in clients:
        client.close()


async def play(case: Case) -> None:
    endpoints = [Endpoint(f"s-{number}", group=1 + number % 2, service_s=0.05) for number in range(6)]
    for endpoint in endpoints:
        await endpoint.open()
    discovery = Discovery()
    discovery.set(*[endpoint.entry() for endpoint in endpoints])
    await discovery.open()
    proxy = case.proxy("n0")
    limits = {"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    proxy.write_config(discovery.address, discovery.document(), settings(), **limits)
    await proxy.start()
    client = Client(proxy.port, "c")
    generator = random.Random(6)
    peak = memory_bytes(proxy)
    case.record.add(f"the proxy takes {peak / MIB:.0f} MiB")
    is_killed = False

    async def enforce_limit() -> None:
        nonlocal peak, is_killed
        while not is_killed:
            peak = max(peak, memory_bytes(proxy))
            if peak > MEMORY_MB * MIB:
                is_killed = True
                proxy.kill()
                case.record.add(f"the proxy takes {peak / MIB:.0f} MiB: killed")
            await asyncio.sleep(0.005)

    async def send() -> None:
        if is_killed:
            return
        if generator.random() < 0.5:
            await client.send("check", "GET", 1000)
        else:
            await client.send("once", "POST", 750)

    platform = asyncio.get_running_loop().create_task(enforce_limit())
    traffic = asyncio.get_running_loop().create_task(open_loop(40.0, 4.0 + 5.0 * WAVES, send))
    await asyncio.sleep(2.0)
    for wave in range(WAVES):
        if case.has_trouble and not is_killed:
            case.record.add(f"wave {wave}: {BAD_CLIENTS} bad clients, {len(much(0))} bytes each")
            await play_wave(proxy.port, wave)
        await asyncio.sleep(3.5)
    await traffic
    platform.cancel()
    case.record_traffic([client], endpoints)
    if not is_killed and proxy.process is not None and proxy.process.poll() is not None:
        raise CannotRun(f"the proxy ended with {proxy.process.poll()}")
    unanswered = sum(not result.status for result in client.results)
    if is_killed:
        case.broken(f"the proxy took {peak / MIB:.0f} MiB of {MEMORY_MB} and was killed")
    print(
        f"peak {peak / MIB:.0f} MiB; {unanswered} of {len(client.results)} requests of sound clients without an answer"
    )
    case.record.add(f"peak {peak / MIB:.0f} MiB; {unanswered} of {len(client.results)} requests without an answer")


run_case(__file__, play)
