"""The endpoints that discovery lists: where they are, whether they are ready, and what an update changes."""

from __future__ import annotations

from collections.abc import Iterable

from alderspool.balancer.events import Availability, EndpointId, UpdateMode
from alderspool.routing.messages import Endpoint, EndpointList

Address = tuple[str, int]  # host and port


class EndpointTable:
    """The endpoint list as of the last update. Does no I/O."""

    def __init__(self) -> None:
        """Start with no endpoint."""
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._ready_addresses: dict[EndpointId, Address] = {}

    @property
    def has_ready(self) -> bool:
        """Whether at least one endpoint is ready."""
        return bool(self._ready_addresses)

    @property
    def ids(self) -> Iterable[EndpointId]:
        """The ids of all listed endpoints."""
        return self._endpoints.keys()

    def get(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Return a listed endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def is_ready_at(self, endpoint_id: EndpointId, host: str, port: int) -> bool:
        """Return whether an endpoint is ready, and still reached at this address.

        Where an endpoint went away and came back at another address, its old address may be some other
        process's by now.
        """
        return self._ready_addresses.get(endpoint_id) == (host, port)

    def apply(self, update: EndpointList, mode: UpdateMode) -> list[EndpointId]:
        """Apply an update and return the endpoints whose idle connections are of no further use.

        These are the endpoints that were listed before and now are missing, not ready, or at another address.
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
