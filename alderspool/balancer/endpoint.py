"""The state that this instance keeps for each endpoint: records that the policy modules read and update."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import lru_cache
from math import inf
from typing import NamedTuple

from alderspool.balancer.events import EndpointId

ANY = -1  # wildcard in a CircuitKey: every traffic class, or every tenant


class CircuitKey(NamedTuple):
    """The kind of traffic that a circuit breaker covers."""

    traffic_class: int
    tenant: int


class Circuit(NamedTuple):
    """The state of an endpoint's circuit breaker for one kind of traffic."""

    failures: int
    open_until: float
    # Where the key has a wildcard: the tenant or traffic class of the first failure; else ANY.
    counterpart: int


class CircuitKeys(NamedTuple):
    """The keys of the circuit breakers that apply to a request, most specific first."""

    class_and_tenant: CircuitKey
    traffic_class: CircuitKey
    tenant: CircuitKey


@lru_cache(maxsize=4096)
def circuit_keys(traffic_class: int, tenant: int) -> CircuitKeys:
    """Return the circuit breaker keys for a traffic class and a tenant."""
    return CircuitKeys(
        CircuitKey(traffic_class, tenant), CircuitKey(traffic_class, ANY), CircuitKey(ANY, tenant)
    )


class Attempt(NamedTuple):
    """An open attempt of a request."""

    endpoint: EndpointState
    sent_at: float
    connection_idle_ms: float  # idle time, before this attempt, of the connection that it most likely uses
    sequence_number: int  # position among the attempts sent to the endpoint, from 1


@dataclass(slots=True, eq=False)
class EndpointState:
    """State of one endpoint. All times are in ms; `..._at` and `..._until` are points on the caller's clock.

    The `..._by_class` lists have one item for each traffic class.
    """

    id: EndpointId
    # Decaying sums over ended attempts: the number served, and the time in flight, increased for failures.
    served_by_class: list[float]
    busy_ms_by_class: list[float]
    # Open attempts: their number, and the sum of the times at which they were sent.
    open_by_class: list[int]
    open_sent_sum_by_class: list[float]
    # At the last refresh: `busy_ms_by_class` plus the time that open attempts had taken until then.
    in_flight_ms_by_class: list[float]
    served_work: float = 0.0  # served attempts, each counted as the typical latency of its class, in ms
    speed: float = 1.0  # work served per ms in flight, over all classes
    weight: float = 0.0  # in the weighted rotation
    fair_share: float = 0.0  # share of all open attempts above which the rotation passes over the endpoint
    current_weight: float = -inf  # in the smooth weighted round robin; -inf: not yet in the rotation
    serves_long_work: bool = False
    rotation_rank: int = 0  # sort key of the rotation order
    limit: int = 1  # on open attempts of all instances together
    own_limit: int = 1  # open attempts that this instance may always have, whatever the peers have open
    in_flight: int = 0  # open attempts of this instance
    peer_in_flight: int = 0  # open attempts of all peers, as they reported
    in_flight_by_peer: dict[int, int] = field(default_factory=dict)
    attempts_sent: int = 0
    # For each open attempt, by sequence number: how many attempts sent after it have been served.
    later_responses: dict[int, int] = field(default_factory=dict)
    written_off: int = 0  # open attempts presumed lost, which no longer count against the limit
    consecutive_failures: int = 0
    last_failure_at: float = -inf
    blocked_until: float = 0.0  # end of the back-off after a failure
    circuits: dict[CircuitKey, Circuit] = field(default_factory=dict)
    connections: int = 0  # estimated open connections from this instance
    silent_since: float = 0.0  # when an attempt last ended, or the first was sent to the idle endpoint
    stall_timeout_ms: float = 0.0  # silence with open attempts after which the endpoint counts as stalled
    warm_up_factor: float = 1.0  # share of its full capacity that it is sure to have by now
    cold_tokens: float = 0.0  # tokens available for attempts while it warms up
    cold_rate: float = 0.0  # tokens added per ms while it warms up; inf: warm, needs no tokens
    is_process_lost: bool = False  # ejected as connections failed: it will come back as a new, cold process
    is_ready: bool = True  # listed as ready
    started_at: float = 0.0  # start of the endpoint's process
    last_ready_at: float = 0.0  # when an update of the list last found it still ready
    size: float = 0.0  # capacity relative to other endpoints: the weight in the endpoint list
    cell: int = 0
    zone: int = 0

    @classmethod
    def create(cls, endpoint_id: EndpointId, class_count: int) -> EndpointState:
        """Return the initial state of a newly listed endpoint."""
        return cls(
            endpoint_id,
            [0.0] * class_count,
            [0.0] * class_count,
            [0] * class_count,
            [0.0] * class_count,
            [0.0] * class_count,
        )

    def reset_learned(self) -> None:
        """Reset statistics and failures, which say nothing about a new process."""
        self.served_by_class = [0.0] * len(self.served_by_class)
        self.busy_ms_by_class = [0.0] * len(self.busy_ms_by_class)
        self.blocked_until = 0.0
        self.current_weight = -inf
        self.consecutive_failures = 0
        self.is_process_lost = False
        self.circuits = {}

    def mark_restarted(self, now: float) -> None:
        """Treat the endpoint as just started: it serves again after a crash, before the list says so."""
        self.is_process_lost = False
        self.started_at = now
        self.cold_tokens = 0.0

    def begin_attempt(self, now: float, traffic_class: int, stall_timeout_ms: float) -> int:
        """Record an attempt as sent; return its sequence number at this endpoint."""
        self.attempts_sent += 1
        sequence_number = self.attempts_sent
        self.later_responses[sequence_number] = 0
        if not self.in_flight:
            self.silent_since = now
            self.stall_timeout_ms = 0.0
        self.stall_timeout_ms = max(self.stall_timeout_ms, stall_timeout_ms)
        self.in_flight += 1
        self.connections = max(self.connections, self.in_flight)
        self.open_by_class[traffic_class] += 1
        self.open_sent_sum_by_class[traffic_class] += now
        return sequence_number

    def end_attempt(
        self, now: float, traffic_class: int, attempt: Attempt, is_served: bool, written_off_after: int
    ) -> int:
        """Record that an attempt has ended; return how many attempts sent after it were served before that.

        An open attempt is written off once `written_off_after` attempts sent after it have been served.
        """
        sequence_number = attempt.sequence_number
        later_responses = self.later_responses
        later_response_count = later_responses.pop(sequence_number)
        if later_response_count >= written_off_after:
            self.written_off -= 1
        if is_served:
            for earlier, responses in later_responses.items():
                if earlier < sequence_number:
                    later_responses[earlier] = responses + 1
                    if responses + 1 == written_off_after:
                        self.written_off += 1
        self.in_flight -= 1
        open_count = self.open_by_class[traffic_class] - 1
        self.open_by_class[traffic_class] = open_count
        sent_sum = self.open_sent_sum_by_class[traffic_class] - attempt.sent_at
        self.open_sent_sum_by_class[traffic_class] = sent_sum if open_count else 0.0
        self.silent_since = now
        return later_response_count

    def decay_statistics(self, factor: float, now: float, typical_ms: list[float]) -> None:
        """Decay the moving sums, and recompute the served work and the time in flight.

        The time in flight includes that of the open attempts until now.
        """
        self.served_by_class = [served * factor for served in self.served_by_class]
        self.busy_ms_by_class = [busy * factor for busy in self.busy_ms_by_class]
        self.in_flight_ms_by_class = [
            busy + open_count * now - sent_sum
            for busy, open_count, sent_sum in zip(
                self.busy_ms_by_class, self.open_by_class, self.open_sent_sum_by_class, strict=True
            )
        ]
        self.served_work = sum(
            served * typical for served, typical in zip(self.served_by_class, typical_ms, strict=True)
        )

    def has_open_circuit(self, keys: CircuitKeys, now: float) -> bool:
        """Return whether any of these circuits is open."""
        circuits = self.circuits
        return any(key in circuits and circuits[key].open_until > now for key in keys)

    def halve_circuit_failures(self, keys: CircuitKeys) -> None:
        """Halve the failure counts of these circuits, and remove those with at most one failure."""
        for key in keys:
            circuit = self.circuits.pop(key, None)
            if circuit is not None and circuit.failures > 1:
                self.circuits[key] = circuit._replace(failures=circuit.failures // 2)

    def set_peer_load(self, peer: int, in_flight: int) -> None:
        """Set the number of open attempts that a peer reports for this endpoint."""
        self.peer_in_flight += in_flight - self.in_flight_by_peer.get(peer, 0)
        self.in_flight_by_peer[peer] = in_flight

    def clear_peer_load(self, peer: int) -> None:
        """Remove the open attempts that a peer reported."""
        self.peer_in_flight -= self.in_flight_by_peer.pop(peer, 0)


def endpoint_id(endpoint: EndpointState) -> EndpointId:
    """Return the endpoint's id, as a sort key."""
    return endpoint.id


def rotation_order(endpoint: EndpointState) -> tuple[int, EndpointId]:
    """Return the sort key of the rotation order."""
    return endpoint.rotation_rank, endpoint.id
