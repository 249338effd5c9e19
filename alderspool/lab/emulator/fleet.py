"""A fleet of emulated endpoints, discovery and real proxies on free loopback ports, with scheduled faults."""

from __future__ import annotations

import asyncio
import math
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

import numpy as np

from alderspool.lab.emulator import site
from alderspool.lab.emulator.discovery import EmulatedDiscovery, endpoint_list_document
from alderspool.lab.emulator.endpoint import EmulatedEndpoint, EndpointIdentity
from alderspool.lab.emulator.faults import FAULT_ACTIONS, Fault
from alderspool.lab.emulator.proxy_process import ProxyProcess
from alderspool.lab.errors import InputError
from alderspool.lab.models.deduplication import DeduplicationScope
from alderspool.lab.models.discovery import DiscoveryModel, EndpointRecord, EndpointStatus
from alderspool.lab.models.endpoint_profile import EndpointProfile


@dataclass
class FleetPlan:
    """Size and properties of a fleet, and the faults to inject."""

    endpoints: int = 6  # number of endpoints
    proxies: int = 1  # number of proxies
    seed: int = 1
    deduplication_scopes: int = 2  # one for each group of the endpoint list
    profile: EndpointProfile = field(
        default_factory=lambda: EndpointProfile(slow_start_ms=4000.0, cached_key_saving=0.4)
    )
    speed_range: tuple[float, float] = (0.7, 2.0)  # speeds of the endpoints are drawn from this range
    faults: tuple[Fault, ...] = ()


class Fleet:
    """Async context manager that starts all parts of the fleet and stops them on exit."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.endpoints = _create_endpoints(plan)
        self.discovery = EmulatedDiscovery(DiscoveryModel())
        self.proxies: list[ProxyProcess] = []
        self._folder = tempfile.TemporaryDirectory(prefix="alderspool-lab-")

    @property
    def capacity(self) -> float:
        """The work that all endpoints together do per ms after slow start and without faults."""
        profiles = [endpoint.model.profile for endpoint in self.endpoints]
        return sum(profile.cores * profile.speed for profile in profiles)

    def report(self, endpoint: EmulatedEndpoint, status: EndpointStatus) -> None:
        """Report to discovery that the endpoint has this status from now on."""
        self.discovery.report(_endpoint_record(endpoint, status))

    async def __aenter__(self) -> Fleet:
        try:
            for endpoint in self.endpoints:
                await endpoint.open()
                self.report(endpoint, EndpointStatus.READY)
            self.discovery.model.advance(math.inf)  # lists all endpoints without the delay of an update
            await self.discovery.open()
            for number in range(self.plan.proxies):
                await self._start_proxy(number)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        for proxy in self.proxies:
            await proxy.kill()
        for listener in (self.discovery, *self.endpoints):
            listener.kill()
        self._folder.cleanup()

    async def _start_proxy(self, number: int) -> None:
        records = [_endpoint_record(endpoint, EndpointStatus.READY) for endpoint in self.endpoints]
        configuration = {
            "discovery": self.discovery.address,
            "seed": f"{self.plan.seed * 1000 + number:016x}",
            "limits": site.PROXY_LIMITS,
            "known": endpoint_list_document(1, records, is_snapshot=True),
            "settings": site.PROXY_SETTINGS | {"my_number": number, "siblings": self.plan.proxies},
        }
        proxy = ProxyProcess(f"n{number}", Path(self._folder.name))
        self.proxies.append(proxy)
        await proxy.start(configuration)

    async def inject_faults(self, log: Callable[[str], None] = lambda text: None) -> None:
        """Inject the plan's faults, with times counted from now; return after the last one has ended.

        Raises InputError before any fault begins if the kind or the endpoint of a fault does not exist.
        """
        for fault in self.plan.faults:
            if fault.kind not in FAULT_ACTIONS or not 0 <= fault.endpoint < len(self.endpoints):
                kinds = ", ".join(FAULT_ACTIONS)
                raise InputError(f"{fault}: kinds are {kinds}; endpoints 0 to {len(self.endpoints) - 1}")
        await asyncio.gather(*(self._inject_fault(fault, log) for fault in self.plan.faults))

    async def _inject_fault(self, fault: Fault, log: Callable[[str], None]) -> None:
        actions = FAULT_ACTIONS[fault.kind]
        endpoint = self.endpoints[fault.endpoint]
        await asyncio.sleep(fault.at_s)
        log(f"{endpoint.name}: {fault.kind}")
        await actions.begin(endpoint, self)
        await asyncio.sleep(fault.duration_s)
        await actions.end(endpoint, self)
        log(f"{endpoint.name}: {fault.kind} over")


def _create_endpoints(plan: FleetPlan) -> list[EmulatedEndpoint]:
    """Create the plan's endpoints, each with a random generator of its own."""
    seeds = iter(np.random.SeedSequence(plan.seed).spawn(plan.endpoints + 1))
    speeds = np.random.default_rng(next(seeds)).uniform(*plan.speed_range, plan.endpoints)
    scopes = [DeduplicationScope() for _ in range(plan.deduplication_scopes)]
    endpoints = []
    for number, speed in enumerate(speeds):
        group = number % plan.deduplication_scopes
        zone = site.ZONES[number % len(site.ZONES)]
        endpoint = EmulatedEndpoint(
            EndpointIdentity(f"s-{number:02d}", zone, group),
            replace(plan.profile, speed=float(speed)),
            site.WORK_BY_CLASS,
            np.random.default_rng(next(seeds)),
            scopes[group],
        )
        endpoints.append(endpoint)
    return endpoints


def _endpoint_record(endpoint: EmulatedEndpoint, status: EndpointStatus) -> EndpointRecord:
    identity = endpoint.identity
    return EndpointRecord(
        name=identity.name,
        address=endpoint.address,
        zone=identity.zone,
        type=site.ENDPOINT_TYPE,
        group=identity.group,
        status=status,
        since_ms=endpoint.since_ms,
    )
