"""Nodes, discovery and real proxies, started together on free loopback ports; faults played on time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import numpy as np

from alderspool.lab.emulator.discovery import DiscoveryServer, document
from alderspool.lab.emulator.endpoint import EndpointServer, Load
from alderspool.lab.errors import LabError, RunError
from alderspool.lab.models.discovery import Discovery, Entry
from alderspool.lab.models.endpoint import EndpointProfile, Rack

LOADS = {"status-check": Load(30.0), "otp-send": Load(18.0), "batch-submit": Load(36.0)}
SETTINGS = {
    "bounds": {"cancel": True, "may_duplicate": True, "max_attempts": 5, "conn_idle_ms": 10000.0},
    "classes": [
        {"name": "status-check", "slo_ms": 400.0, "deadline_ms": 1000.0, "effect": "free", "importance": 1.0},
        {
            "name": "otp-send",
            "slo_ms": 150.0,
            "deadline_ms": 750.0,
            "effect": "single_shot",
            "importance": 2.0,
        },
        {"name": "batch-submit", "slo_ms": 500.0, "deadline_ms": 2000.0, "effect": "guarded"}
        | {"dedup_scope": "cell", "memory_span_ms": 10000.0, "importance": 5.0},
    ],
    "customers": [
        {"name": "large", "share": 0.55, "quota_rps": 0.0},
        {"name": "middle", "share": 0.36, "quota_rps": 0.0},
        {"name": "small", "share": 0.09, "quota_rps": 0.0},
    ],
    "discovery": "on_request",
    "rules": {"drain_grace_ms": 250.0, "cold_from": 0.4, "cold_ms": 4000.0, "overload_factor": 4.0},
    "shapes": ["m2"],
    "weights": "nominal",
    "zones": ["a", "b"],
}
READY_S = 20.0


@dataclass(frozen=True)
class Fault:
    """At `at` s of the run, for `seconds`, to the node of this number. Kinds: crash, silence, slow, drain."""

    at: float
    kind: str
    node: int
    seconds: float


@dataclass
class FleetPlan:
    nodes: int = 6
    proxies: int = 1
    seed: int = 1
    racks: int = 2
    profile: EndpointProfile = field(
        default_factory=lambda: EndpointProfile(slow_start_ms=4000.0, key_gain=0.4)
    )
    speeds: tuple[float, float] = (0.7, 2.0)
    faults: tuple[Fault, ...] = ()


class Fleet:
    """An async context: everything is up inside it, and nothing outlives it."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        seeds = iter(np.random.SeedSequence(plan.seed).spawn(plan.nodes + 1))
        speeds = np.random.default_rng(next(seeds)).uniform(*plan.speeds, plan.nodes)
        racks = [Rack() for _ in range(plan.racks)]
        self.nodes = [
            EndpointServer(
                f"s-{i:02d}",
                EndpointProfile(**{**vars(plan.profile), "speed": float(speed)}),
                LOADS,
                np.random.default_rng(next(seeds)),
                racks[i % plan.racks],
                "ab"[i % 2],
                i % plan.racks,
            )
            for i, speed in enumerate(speeds)
        ]
        self.discovery = DiscoveryServer(Discovery())
        self.proxies: list[asyncio.subprocess.Process] = []
        self.urls: list[str] = []
        self._folder = tempfile.TemporaryDirectory(prefix="alderspool-lab-")

    @property
    def capacity(self) -> float:
        """Core-ms of work that all nodes do a ms, warm and healthy."""
        return sum(n.model.profile.cores * n.model.profile.speed for n in self.nodes)

    def entry(self, node: EndpointServer, status: str = "ready") -> Entry:
        return Entry(node.name, node.address, node.zone, "m2", node.group, status, 1.0, node.since_ms)

    async def __aenter__(self) -> Fleet:
        try:
            for node in self.nodes:
                await node.open()
                self.discovery.report(self.entry(node))
            self.discovery.model.advance(float("inf"))  # long listed when the run begins
            await self.discovery.open()
            for number in range(self.plan.proxies):
                await self._start_proxy(number)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *fault: object) -> None:
        for proxy in self.proxies:
            if proxy.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    proxy.kill()
                await proxy.wait()
        for listener in (self.discovery, *self.nodes):
            listener.kill()
        self._folder.cleanup()

    async def _start_proxy(self, number: int) -> None:
        port = free_port()
        config = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": self.discovery.address,
            "seed": f"{self.plan.seed * 1000 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": document(1, [self.entry(n) for n in self.nodes], True),
            "settings": SETTINGS | {"my_number": number, "siblings": self.plan.proxies},
        }
        file = Path(self._folder.name) / f"n{number}.json"
        file.write_text(json.dumps(config))
        proxy = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "alderspool", "serve", "--log-level", "WARNING"),
            env={k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
            | {"BALANCER_CONFIG": str(file)},
            start_new_session=True,  # Ctrl-C is ours to handle
        )
        self.proxies.append(proxy)
        self.urls.append(f"http://127.0.0.1:{port}")
        limit = time.monotonic() + READY_S
        while not await answers(port):
            if proxy.returncode is not None or time.monotonic() > limit:
                raise RunError(f"proxy n{number} did not get ready (status {proxy.returncode})")
            await asyncio.sleep(0.02)

    async def stop_proxy(self, number: int) -> int:
        """SIGTERM; its exit status once it has finished what it took."""
        self.proxies[number].send_signal(signal.SIGTERM)
        return await self.proxies[number].wait()

    async def play(self, tell: Callable[[str], None] = lambda text: None) -> None:
        """Plays the plan's faults, from now on; returns after the last one has ended."""
        for fault in self.plan.faults:
            if fault.kind not in _FAULTS or not 0 <= fault.node < len(self.nodes):
                raise LabError(
                    f"fault {fault}: kinds are {', '.join(_FAULTS)}; nodes 0 to {len(self.nodes) - 1}"
                )
        await asyncio.gather(*(self._play_one(fault, tell) for fault in self.plan.faults))

    async def _play_one(self, fault: Fault, tell: Callable[[str], None]) -> None:
        begin, end = _FAULTS[fault.kind]
        node = self.nodes[fault.node]
        await asyncio.sleep(fault.at)
        tell(f"{node.name}: {fault.kind}")
        await begin(self, node)
        await asyncio.sleep(fault.seconds)
        await end(self, node)
        tell(f"{node.name}: {fault.kind} over")


# ---- kinds of fault: how each begins and ends ------------------------------------------------------


async def _crash(fleet: Fleet, node: EndpointServer) -> None:
    node.crash()
    fleet.discovery.report(fleet.entry(node, "gone"))


async def _restart(fleet: Fleet, node: EndpointServer) -> None:
    await node.restart()
    fleet.discovery.report(fleet.entry(node))


async def _silence(fleet: Fleet, node: EndpointServer) -> None:
    node.model.silent = True


async def _speak(fleet: Fleet, node: EndpointServer) -> None:
    node.model.silent = False


async def _slow(fleet: Fleet, node: EndpointServer) -> None:
    node.model.slower = 3.0


async def _quick(fleet: Fleet, node: EndpointServer) -> None:
    node.model.slower = 1.0


async def _drain(fleet: Fleet, node: EndpointServer) -> None:
    node.model.draining = True
    fleet.discovery.report(fleet.entry(node, "draining"))


Act = Callable[[Fleet, EndpointServer], Awaitable[None]]
_FAULTS: dict[str, tuple[Act, Act]] = {
    "crash": (_crash, _restart),
    "silence": (_silence, _speak),
    "slow": (_slow, _quick),
    "drain": (_drain, _restart),  # ends as a deploy does: the process is replaced
}


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return probe.getsockname()[1]


async def answers(port: int) -> bool:
    """Whether `GET /ready` says 200 there."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 5.0)
        writer.close()
        return b" 200 " in line
    except (OSError, TimeoutError):
        return False
