"""Wire format of the load reports between peers: for each endpoint, its id and one byte of open attempts."""

from __future__ import annotations

from collections.abc import Iterator

from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.events import EndpointId

ID_BYTES = 6
ENTRY_BYTES = ID_BYTES + 1
MAX_COUNT = 255  # larger counts are sent as this, since one byte holds no more


def encode_entry(endpoint: EndpointState) -> bytes:
    """Encode the entry of one endpoint."""
    return endpoint.id + bytes((min(endpoint.in_flight, MAX_COUNT),))


def encode_messages(endpoints: list[EndpointState], entries_per_message: int) -> list[bytes]:
    """Encode the entries of all these endpoints, with at most `entries_per_message` in each message."""
    entries = [encode_entry(endpoint) for endpoint in endpoints]
    starts = range(0, len(entries), entries_per_message)
    return [b"".join(entries[start : start + entries_per_message]) for start in starts]


def is_well_formed(data: bytes) -> bool:
    """Return whether the data consists of one or more complete entries."""
    return bool(data) and not len(data) % ENTRY_BYTES


def decode_entries(data: bytes) -> Iterator[tuple[EndpointId, int]]:
    """Yield the endpoint id and the number of open attempts of each entry."""
    for start in range(0, len(data), ENTRY_BYTES):
        yield data[start : start + ID_BYTES], data[start + ID_BYTES]
