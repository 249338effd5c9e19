"""Discovery takes 1.9 s for a call; five new configurations, 1.8 s apart, move it to and fro; an endpoint drains.

Both addresses belong to the same service and answer every call. Breaks: an attempt at the draining endpoint begins
later than 6 s after discovery listed it as draining, plus the grace.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import Case, Client, Discovery, Endpoint, now, open_loop, run_case, settings

CALL_S = 1.9  # below the 2 s after which a call has waited too long
BETWEEN_S = 1.8
CONFIGURATIONS = 5
COUNTS_AS_TOLD_S = 6.0
DRAIN_GRACE_S = 0.25
SLACK_S = 0.05  # "every time limit is 50 ms longer"


async def play(case: Case) -> None:
    endpoints = [Endpoint(f"s-{number}", group=1 + number % 2) for number in range(4)]
    for endpoint in endpoints:
        await endpoint.open()
    services = [Discovery(), Discovery()]
    for service in services:
        service.set(*[endpoint.entry() for endpoint in endpoints])
        await service.open()

    proxy = case.proxy("n0")
    proxy.write_config(services[0].address, services[0].document(), settings())
    await proxy.start()
    client = Client(proxy.port, "c")
    generator = random.Random(9)

    async def send() -> None:
        if generator.random() < 0.5:
            await client.send("check", "GET", 1000)
        else:
            await client.send("once", "POST", 750)

    traffic = asyncio.get_running_loop().create_task(open_loop(100.0, 18.0, send))
    await asyncio.sleep(3.0)
    draining = endpoints[0]

    def configure(number: int) -> None:
        address = services[(number + 1) % 2].address
        proxy.write_config(address, services[0].document(), settings())
        proxy.signal(signal.SIGHUP)
        case.record.add(f"new configuration: discovery at {address}")

    if case.has_trouble:
        for service in services:
            service.call_s = CALL_S
        configure(0)
    configured_at = now()
    await asyncio.sleep(0.3)
    listed_at = now()
    for service in services:
        service.set(draining.entry("draining"))
    case.record.add(f"{draining.name} listed as draining")
    for number in range(1, CONFIGURATIONS):
        await asyncio.sleep(configured_at + number * BETWEEN_S - now())
        if case.has_trouble:
            configure(number)
    await traffic
    case.record_traffic([client], endpoints)
    for service in services:
        for called_at, target, result in service.calls:
            case.record.add(f"discovery at {service.address} asked for {target}: {result}", called_at)
    for attempt in draining.attempts:
        late_s = attempt.first_byte_at - listed_at
        if late_s > COUNTS_AS_TOLD_S + DRAIN_GRACE_S + SLACK_S:
            case.broken(f"{attempt.request_id} sent to {draining.name} {late_s:.2f} s after it was listed as draining")
    last_s = max(attempt.first_byte_at for attempt in draining.attempts) - listed_at
    print(f"last attempt at {draining.name} {last_s:.2f} s after it was listed as draining")


run_case(__file__, play)
