"""The endpoint list as updates leave it. It chooses nothing: how long removed endpoints are kept is given."""

from __future__ import annotations

from math import inf
from random import Random

from alderspool.balancer.containers import bit_reversed, interleave_in_proportion
from alderspool.balancer.endpoint import EndpointState, endpoint_id
from alderspool.balancer.events import Availability, EndpointEntry, EndpointId, EndpointListUpdate, UpdateMode
from alderspool.balancer.settings import Settings

RANK_BITS = 16  # of a place among the endpoints of a zone
START_TIME_ROUNDING_MS = 1.0  # start times are listed with this precision


class EndpointList:
    """All endpoints that the list names, and those removed lately."""

    def __init__(self, settings: Settings, random: Random, class_count: int) -> None:
        self.endpoints_by_id: dict[EndpointId, EndpointState] = {}
        self.mean_size = 1.0  # of the endpoints in use; set by the refresh of the subset
        self._settings = settings
        self._random = random
        self._class_count = class_count

    def apply(self, update: EndpointListUpdate, now: float, removed_kept_ms: float) -> None:
        """Take over an update; drop the endpoints that were removed longer ago than is given."""
        listed = {entry.id for entry in update.entries}
        for endpoint in self.endpoints_by_id.values():
            if endpoint.is_ready:
                endpoint.last_ready_at = now
            if update.mode != UpdateMode.DELTA and endpoint.id not in listed:
                endpoint.is_ready = False  # missing from a complete list: removed
        for entry in update.entries:
            self._apply_entry(entry)
        oldest = now - removed_kept_ms
        self.endpoints_by_id = {
            endpoint.id: endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.is_ready or endpoint.in_flight or endpoint.last_ready_at > oldest
        }

    def ready_ring(self) -> list[EndpointState]:
        """Return the ready endpoints in an order on which all instances agree, zones in proportion.

        With half a subset from each zone, or gaps where endpoints were removed, the few of a small zone and
        those behind a gap would bear a multiple of the others' load.
        """
        zones: dict[int, list[EndpointState]] = {}
        for endpoint in sorted(self.endpoints_by_id.values(), key=endpoint_id):
            zone = zones.setdefault(endpoint.zone, [])
            # Neighbours are far apart in the rotation: each subset has its part of the first ranks.
            endpoint.rotation_rank = bit_reversed(len(zone), RANK_BITS)
            zone.append(endpoint)
        ready = [[endpoint for endpoint in zones[zone] if endpoint.is_ready] for zone in sorted(zones)]
        return interleave_in_proportion(ready)

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.endpoints_by_id.get(entry.id)
        is_ready = entry.availability == Availability.READY
        if endpoint is None:
            if not is_ready:
                return
            endpoint = EndpointState.create(entry.id, self._class_count)
            self.endpoints_by_id[entry.id] = endpoint
            endpoint.started_at = entry.started_at_ms
            endpoint.cold_tokens = self._random.random()
        elif _is_new_process(endpoint, entry):
            endpoint.reset_learned()
            endpoint.started_at = max(entry.started_at_ms, endpoint.started_at)
            endpoint.cold_tokens = self._random.random()
        endpoint.is_ready = is_ready  # draining or removed: nothing new from this moment on
        self._apply_size(endpoint, entry.weight)
        endpoint.cell = entry.cell
        endpoint.zone = entry.zone

    def _apply_size(self, endpoint: EndpointState, weight: float) -> None:
        if self._settings.weights_listed and 0.0 < weight < inf:
            # A live weight sinks under load, so an empty cold endpoint would look the biggest: keep the most.
            endpoint.size = max(weight, endpoint.size if self._settings.weights_live else 0.0)
        elif endpoint.size <= 0.0:
            endpoint.size = self.mean_size


def _is_new_process(endpoint: EndpointState, entry: EndpointEntry) -> bool:
    is_back = entry.availability == Availability.READY and not endpoint.is_ready
    return is_back or entry.started_at_ms > endpoint.started_at + START_TIME_ROUNDING_MS
