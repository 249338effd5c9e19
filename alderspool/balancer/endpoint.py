"""What this instance knows of one endpoint. Records that choose nothing: policy modules read and set them."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import lru_cache
from math import inf
from typing import NamedTuple

from alderspool.balancer.events import EndpointId

ANY = -1  # in a CircuitKey: every traffic class, or every tenant


class CircuitKey(NamedTuple):
    """The kind of traffic that a circuit breaker is for."""

    traffic_class: int
    tenant: int


class Circuit(NamedTuple):
    """A circuit breaker of one endpoint for one kind of traffic."""

    failures: int
    open_until: float
    counterpart: int  # the tenant or class, whichever the key leaves open, with which it first failed


class CircuitKeys(NamedTuple):
    """The circuit breakers that a request meets, from the narrowest."""

    class_and_tenant: CircuitKey
    traffic_class: CircuitKey
    tenant: CircuitKey


@lru_cache(maxsize=4096)
def circuit_keys(traffic_class: int, tenant: int) -> CircuitKeys:
    """Return the keys for a traffic class and a tenant."""
    return CircuitKeys(
        CircuitKey(traffic_class, tenant), CircuitKey(traffic_class, ANY), CircuitKey(ANY, tenant)
    )


class Attempt(NamedTuple):
    """An open attempt of a request."""

    endpoint: EndpointState
    sent_at: float
    connection_idle_ms: float  # of the connection that it most likely uses
    endpoint_number: int  # among the attempts sent to the endpoint


@dataclass(slots=True, eq=False)
class EndpointState:
    """State of one endpoint. Times are milliseconds, `..._at` and `..._until` of the caller's clock.

    `by_class` lists have one item for each traffic class.
    """

    id: EndpointId
    # Moving sums of the attempts that ended: how many were served, and their time in flight.
    served_by_class: list[float]
    busy_ms_by_class: list[float]
    # Open attempts, the sum of the times at which they were sent, and their time included in `busy`.
    open_by_class: list[int]
    open_sent_sum_by_class: list[float]
    in_flight_ms_by_class: list[float]
    served_work: float = 0.0  # ms of typical latency that the served attempts stand for
    speed: float = 1.0  # work served per ms in flight, over all classes
    weight: float = 0.0
    fair_share: float = 0.0  # of all open attempts, above which it is passed over
    current_weight: float = -inf  # of the smooth weighted round robin; -inf: not yet in the rotation
    serves_long_work: bool = False
    rotation_rank: int = 0
    limit: int = 1  # open attempts of all instances together
    own_limit: int = 1  # open attempts of this instance, whatever the peers have open
    in_flight: int = 0
    peer_in_flight: int = 0
    in_flight_by_peer: dict[int, int] = field(default_factory=dict)
    attempts_sent: int = 0
    later_responses: dict[int, int] = field(default_factory=dict)  # per open attempt: answered, sent later
    written_off: int = 0  # open attempts that no longer count against the limit
    consecutive_failures: int = 0
    last_failure_at: float = -inf
    blocked_until: float = 0.0
    circuits: dict[CircuitKey, Circuit] = field(default_factory=dict)
    connections: int = 0  # that should be open from this instance
    silent_since: float = 0.0  # since when no open attempt has ended
    stall_timeout_ms: float = 0.0  # silence after which it counts as stalled
    warm_up_factor: float = 1.0  # share of its capacity that it surely has by now
    cold_tokens: float = 0.0
    cold_rate: float = 0.0  # tokens per ms while it warms up; inf: warm, needs no tokens
    is_process_lost: bool = False  # connections failed: what comes back is a new, cold process
    is_ready: bool = True
    started_at: float = 0.0
    last_ready_at: float = 0.0
    size: float = 0.0  # listed weight
    cell: int = 0
    zone: int = 0

    @classmethod
    def create(cls, endpoint_id: EndpointId, class_count: int) -> EndpointState:
        """Return the state of an endpoint of which nothing is known."""
        return cls(
            endpoint_id,
            [0.0] * class_count,
            [0.0] * class_count,
            [0] * class_count,
            [0.0] * class_count,
            [0.0] * class_count,
        )

    def reset_learned(self) -> None:
        """Forget figures and failures, which say nothing of a new process."""
        self.served_by_class = [0.0] * len(self.served_by_class)
        self.busy_ms_by_class = [0.0] * len(self.busy_ms_by_class)
        self.blocked_until = 0.0
        self.current_weight = -inf
        self.consecutive_failures = 0
        self.is_process_lost = False
        self.circuits = {}

    def restart(self, now: float) -> None:
        """Treat the endpoint, back from a crash before the list says so, as just started."""
        self.is_process_lost = False
        self.started_at = now
        self.cold_tokens = 0.0

    def begin_attempt(self, now: float, traffic_class: int, stall_timeout_ms: float) -> int:
        """Record an attempt as sent; return its number among those sent here."""
        self.attempts_sent += 1
        number = self.attempts_sent
        self.later_responses[number] = 0
        if not self.in_flight:
            self.silent_since = now
            self.stall_timeout_ms = 0.0
        self.stall_timeout_ms = max(self.stall_timeout_ms, stall_timeout_ms)
        self.in_flight += 1
        self.connections = max(self.connections, self.in_flight)
        self.open_by_class[traffic_class] += 1
        self.open_sent_sum_by_class[traffic_class] += now
        return number

    def end_attempt(
        self, now: float, traffic_class: int, attempt: Attempt, is_served: bool, written_off_after: int
    ) -> int:
        """Record that an attempt has ended; return how many that were sent later were served before it.

        An attempt is written off once that many are `written_off_after`.
        """
        number = attempt.endpoint_number
        later_responses = self.later_responses
        passed = later_responses.pop(number)
        if passed >= written_off_after:
            self.written_off -= 1
        if is_served:
            for earlier, responses in later_responses.items():
                if earlier < number:
                    later_responses[earlier] = responses + 1
                    if responses + 1 == written_off_after:
                        self.written_off += 1
        self.in_flight -= 1
        still_open = self.open_by_class[traffic_class] - 1
        self.open_by_class[traffic_class] = still_open
        sent_sum = self.open_sent_sum_by_class[traffic_class] - attempt.sent_at
        self.open_sent_sum_by_class[traffic_class] = sent_sum if still_open else 0.0
        self.silent_since = now
        return passed

    def decay_statistics(self, factor: float, now: float, typical_ms: list[float]) -> None:
        """Fade the moving sums, and add up the time in flight with that of the open attempts."""
        self.served_by_class = [served * factor for served in self.served_by_class]
        self.busy_ms_by_class = [busy * factor for busy in self.busy_ms_by_class]
        self.in_flight_ms_by_class = [
            busy + still_open * now - sent_sum
            for busy, still_open, sent_sum in zip(
                self.busy_ms_by_class, self.open_by_class, self.open_sent_sum_by_class, strict=True
            )
        ]
        self.served_work = sum(
            served * typical for served, typical in zip(self.served_by_class, typical_ms, strict=True)
        )

    def has_open_circuit(self, keys: CircuitKeys, now: float) -> bool:
        """Whether one of these circuits is open."""
        circuits = self.circuits
        return any(key in circuits and circuits[key].open_until > now for key in keys)

    def halve_circuit_failures(self, keys: CircuitKeys) -> None:
        """Halve the failures of these circuits; one that failed once is forgotten."""
        for key in keys:
            circuit = self.circuits.pop(key, None)
            if circuit is not None and circuit.failures > 1:
                self.circuits[key] = circuit._replace(failures=circuit.failures // 2)

    def set_peer_load(self, peer: int, in_flight: int) -> None:
        """Take over what a peer reports to have open here."""
        self.peer_in_flight += in_flight - self.in_flight_by_peer.get(peer, 0)
        self.in_flight_by_peer[peer] = in_flight

    def forget_peer(self, peer: int) -> None:
        """Drop what a peer reported."""
        self.peer_in_flight -= self.in_flight_by_peer.pop(peer, 0)


def endpoint_id(endpoint: EndpointState) -> EndpointId:
    """Return the id, as a sort key."""
    return endpoint.id


def rotation_order(endpoint: EndpointState) -> tuple[int, EndpointId]:
    """Return the sort key of the rotation."""
    return endpoint.rotation_rank, endpoint.id
