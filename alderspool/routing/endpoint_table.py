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

        These are the endpoints that were listed before and are now unlisted, not ready or at another address.
        """
        previous = self._endpoints
        endpoints = dict(previous) if mode == UpdateMode.DELTA else {}
        endpoints.update((endpoint.entry.id, endpoint) for endpoint in update.endpoints)
        self._endpoints = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in endpoints.items()
            if endpoint.entry.availability != Availability.GONE
        }
        self._ready_addresses = {
            endpoint_id: (endpoint.host, endpoint.port)
            for endpoint_id, endpoint in self._endpoints.items()
            if endpoint.entry.availability == Availability.READY
        }
        return [
            endpoint_id
            for endpoint_id, endpoint in previous.items()
            if not self.is_ready_at(endpoint_id, endpoint.host, endpoint.port)
        ]
