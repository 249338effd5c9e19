"""The endpoints listed by discovery, with their addresses and readiness."""

from __future__ import annotations

from collections.abc import Iterable

from alderspool.balancer.events import Availability, EndpointId, UpdateMode
from alderspool.routing.messages import Endpoint, EndpointList

Address = tuple[str, int]  # host and port


class EndpointTable:
    """Holds the endpoint list as of the last update. Does no I/O."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._ready_addresses: dict[EndpointId, Address] = {}
        # Endpoints that the last update dropped, although it lists them or leaves them unchanged: a process
        # that was started later has their address.
        self.superseded: dict[EndpointId, Endpoint] = {}

    @property
    def has_ready_endpoint(self) -> bool:
        """Whether at least one endpoint is ready."""
        return bool(self._ready_addresses)

    @property
    def ids(self) -> Iterable[EndpointId]:
        """The ids of all listed endpoints."""
        return self._endpoints.keys()

    def get(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Return a listed endpoint, or None if it is not listed."""
        return self._endpoints.get(endpoint_id)

    def is_ready_at(self, endpoint_id: EndpointId, host: str, port: int) -> bool:
        """Return whether an endpoint is ready and still has this address.

        If an endpoint was removed and came back at another address, another process may be listening at its
        old address by now.
        """
        return self._ready_addresses.get(endpoint_id) == (host, port)

    def apply(self, update: EndpointList, mode: UpdateMode) -> list[EndpointId]:
        """Apply an update and return the ids of the endpoints whose idle connections should be closed.

        These are the endpoints that were listed before and are now unlisted, not ready or at another address,
        or whose process has been started anew.
        """
        previous = self._endpoints
        endpoints = dict(previous) if mode == UpdateMode.DELTA else {}
        endpoints.update((endpoint.entry.id, endpoint) for endpoint in update.endpoints)
        listed = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in endpoints.items()
            if endpoint.entry.availability != Availability.GONE
        }
        updated_addresses = {(endpoint.host, endpoint.port) for endpoint in update.endpoints}
        self.superseded = _superseded(listed, updated_addresses)
        self._endpoints = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in listed.items()
            if endpoint_id not in self.superseded
        }
        self._ready_addresses = {
            endpoint_id: (endpoint.host, endpoint.port)
            for endpoint_id, endpoint in self._endpoints.items()
            if endpoint.entry.availability == Availability.READY
        }
        return [
            endpoint_id
            for endpoint_id, endpoint in previous.items()
            if not self.is_ready_at(endpoint_id, endpoint.host, endpoint.port) or self._is_restarted(endpoint)
        ]

    def _is_restarted(self, previous: Endpoint) -> bool:
        current = self._endpoints[previous.entry.id]
        return current.entry.started_at_ms > previous.entry.started_at_ms


def _superseded(
    endpoints: dict[EndpointId, Endpoint], updated_addresses: set[Address]
) -> dict[EndpointId, Endpoint]:
    """Return the endpoints at one of these addresses at which another one has been started later.

    An address belongs to one process at a time. An update can list the new one without telling that the old
    one is gone; what is sent to the old one would reach the new one. Of endpoints with the same start time
    none is superseded.
    """
    at_updated_addresses = [
        endpoint for endpoint in endpoints.values() if (endpoint.host, endpoint.port) in updated_addresses
    ]
    latest_starts: dict[Address, float] = {}
    for endpoint in at_updated_addresses:
        address = (endpoint.host, endpoint.port)
        started_at_ms = endpoint.entry.started_at_ms
        latest_starts[address] = max(started_at_ms, latest_starts.get(address, started_at_ms))
    return {
        endpoint.entry.id: endpoint
        for endpoint in at_updated_addresses
        if endpoint.entry.started_at_ms < latest_starts[endpoint.host, endpoint.port]
    }
