"""Some endpoints send an answer a second time, 4 to 8 ms late; requests arrive in groups.

Breaks: a client gets 200 with a body that no endpoint made for its request.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import Attempt, Case, Client, Discovery, Endpoint, EndpointConnection, now
from rig import open_loop, response, run_case, settings

ENDPOINTS = 6
RATE = 240.0  # requests a second, in groups
GROUP = 40
SECONDS = 60.0
SPOILT_SHARE = 0.2  # of the answers
LATE_S = (0.004, 0.008)
LATEST_S = 0.0085  # if this process itself is later than that, it does not send the second answer


class SpoiltEndpoint(Endpoint):
    """Sends some of its answers twice on the same connection."""

    def __init__(self, name: str, group: int, case: Case) -> None:
        super().__init__(name, group=group, service_s=0.03)
        self.case = case
        self.second_answers = 0

    def serve(self, connection: EndpointConnection, attempt: Attempt) -> None:
        super().serve(connection, attempt)
        if self.case.has_trouble and attempt.sent_body and self.random.random() < SPOILT_SHARE:
            delay_s = self.random.uniform(*LATE_S)
            asyncio.get_running_loop().call_later(delay_s, self.serve_again, connection, attempt, now())

    def serve_again(self, connection: EndpointConnection, attempt: Attempt, answered_at: float) -> None:
        if connection.transport.is_closing() or now() - answered_at > LATEST_S:
            return
        connection.transport.write(response(200, attempt.sent_body))
        self.second_answers += 1
        late_ms = 1000.0 * (now() - answered_at)
        self.case.record.add(f"{attempt.request_id} answered a second time by {self.name}, {late_ms:.1f} ms late")


async def play(case: Case) -> None:
    endpoints = [SpoiltEndpoint(f"s-{number}", 1 + number % 2, case) for number in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.open()
    discovery = Discovery()
    discovery.set(*[endpoint.entry() for endpoint in endpoints])
    await discovery.open()
    proxy = case.proxy("n0")
    proxy.write_config(discovery.address, discovery.document(), settings())
    await proxy.start()
    client = Client(proxy.port, "c")
    generator = random.Random(7)

    async def send() -> None:
        choice = generator.random()
        if choice < 0.4:
            await client.send("check", "GET", 1000)
        elif choice < 0.7:
            await client.send("once", "POST", 750)
        else:
            await client.send("batch", "POST", 2000, key=client.new_id())

    async def send_group() -> None:
        await asyncio.gather(*[send() for _ in range(GROUP)])

    await open_loop(RATE / GROUP, SECONDS, send_group)
    case.record_traffic([client], endpoints)
    made = {(a.request_id, a.sent_body) for endpoint in endpoints for a in endpoint.attempts if a.sent_body}
    for result in client.results:
        if result.status == 200 and (result.request_id, result.body) not in made:
            case.broken(f"{result.request_id} ({result.request_class}) got {result.body!r}")
    second = sum(endpoint.second_answers for endpoint in endpoints)
    statuses = sorted({r.status for r in client.results})
    counts = ", ".join(f"{s}: {sum(r.status == s for r in client.results)}" for s in statuses)
    case.record.add(f"answers {counts}; {second} second answers")
    print(f"answers {counts}; {second} second answers")


run_case(__file__, play)
