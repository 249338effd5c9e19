"""The endpoint list, kept current by updates. The caller decides how long removed endpoints are kept."""

from __future__ import annotations

from math import inf
from random import Random

from alderspool.balancer.containers import bit_reversed, interleave_in_proportion
from alderspool.balancer.endpoint import EndpointState, endpoint_id
from alderspool.balancer.events import Availability, EndpointEntry, EndpointId, EndpointListUpdate, UpdateMode
from alderspool.balancer.settings import Settings

RANK_BITS = 16  # width of an endpoint's position within its zone
START_TIME_ROUNDING_MS = 1.0  # precision of the start times in the list


class EndpointList:
    """The endpoints in the list, and those removed recently."""

    def __init__(self, settings: Settings, random: Random, class_count: int) -> None:
        self.endpoints_by_id: dict[EndpointId, EndpointState] = {}
        self.mean_size = 1.0  # mean `size` of the endpoints in use, set by each refresh
        self._settings = settings
        self._random = random
        self._class_count = class_count

    def apply(self, update: EndpointListUpdate, now: float, removed_kept_ms: float) -> None:
        """Apply an update, and drop endpoints that were removed more than `removed_kept_ms` ago.

        An endpoint with open attempts is kept however long ago it was removed.
        """
        listed_ids = {entry.id for entry in update.entries}
        for endpoint in self.endpoints_by_id.values():
            if endpoint.is_ready:
                endpoint.last_ready_at = now
            # An endpoint that is missing from a complete list has been removed.
            if update.mode != UpdateMode.DELTA and endpoint.id not in listed_ids:
                endpoint.is_ready = False
        for entry in update.entries:
            self._apply_entry(entry)
        oldest_kept_at = now - removed_kept_ms
        self.endpoints_by_id = {
            endpoint.id: endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.is_ready or endpoint.in_flight or endpoint.last_ready_at > oldest_kept_at
        }

    def ready_ring(self) -> list[EndpointState]:
        """Return the ready endpoints in an order that is the same on all instances.

        The zones are interleaved in proportion to their numbers of ready endpoints. If a subset took half of
        its endpoints from each zone, those of a small zone would get a multiple of the others' load; so would
        those that follow a gap if removed endpoints left gaps in the order.
        """
        zones: dict[int, list[EndpointState]] = {}
        for endpoint in sorted(self.endpoints_by_id.values(), key=endpoint_id):
            zone = zones.setdefault(endpoint.zone, [])
            # Bit reversal gives neighbours distant ranks, so that each subset has its share of the low ranks.
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
        endpoint.is_ready = is_ready  # a draining or removed endpoint gets no new attempts from now on
        self._apply_size(endpoint, entry.weight)
        endpoint.cell = entry.cell
        endpoint.zone = entry.zone

    def _apply_size(self, endpoint: EndpointState, weight: float) -> None:
        if self._settings.weights_listed and 0.0 < weight < inf:
            # A live weight falls under load, which would make an idle cold endpoint look the largest. The
            # highest weight seen shows the capacity.
            endpoint.size = max(weight, endpoint.size if self._settings.weights_live else 0.0)
        elif endpoint.size <= 0.0:
            endpoint.size = self.mean_size


def _is_new_process(endpoint: EndpointState, entry: EndpointEntry) -> bool:
    is_ready_again = entry.availability == Availability.READY and not endpoint.is_ready
    return is_ready_again or entry.started_at_ms > endpoint.started_at + START_TIME_ROUNDING_MS
