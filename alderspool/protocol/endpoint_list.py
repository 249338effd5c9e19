"""Decodes the endpoint list from discovery's JSON and encodes the HTTP requests for it. No I/O."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import Literal
from zlib import crc32

import msgspec

from alderspool.balancer.events import Availability, EndpointEntry
from alderspool.balancer.settings import Settings
from alderspool.protocol.http_client import HttpClientCodec, HttpResponse
from alderspool.routing.messages import Endpoint, EndpointList

LIST_LIMIT_BYTES = 4 * 1024 * 1024
MAX_PORT = 65535
_LIST_PATH = "/v1/endpoints"
_HTTP_OK = 200
_AVAILABILITY_BY_STATUS = {
    "ready": Availability.READY,
    "draining": Availability.DRAINING,
    "gone": Availability.GONE,
}


class EndpointListError(ValueError):
    """A response of discovery or a list in the configuration is invalid; the message states the reason."""


class EndpointDoc(msgspec.Struct):
    """An endpoint in discovery's JSON. The field names are part of that format."""

    name: str
    address: str  # host:port
    status: Literal["ready", "draining", "gone"]
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0  # start time of the endpoint, Unix time in ms; 0: long ago


class EndpointListDoc(msgspec.Struct):
    """An endpoint list in discovery's JSON. The field names are part of that format."""

    index: int  # revision of the list
    snapshot: bool  # True: complete list; False: only the endpoints that have changed
    endpoints: list[EndpointDoc]


@dataclass(frozen=True, slots=True)
class ListRequest:
    """A request to discovery for the complete list or for changes.

    `since_revision`: request only the changes after this revision; None: request the complete list.
    `wait_ms`: how long discovery may delay its response while nothing has changed; not sent with a request
    for the complete list.
    """

    since_revision: int | None = None
    wait_ms: int = 0


_decoder = msgspec.json.Decoder(EndpointListDoc)


def to_settings_name(name: str) -> str:
    """Return a name in the form used in the settings, where names contain neither spaces nor commas."""
    return name.replace(" ", "_").replace(",", "_")


def parse_address(text: str) -> tuple[str, int]:
    """Split host:port into a host and a port.

    The host must be a literal IP address, since there is no DNS. Raises EndpointListError.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise EndpointListError(f"not an IP address and port: {text!r}") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise EndpointListError(f"invalid port: {text!r}")
    return host, int(port)


def to_endpoint_list(doc: EndpointListDoc, settings: Settings) -> EndpointList:
    """Convert a decoded list to the types of the proxy. Raises EndpointListError if it is invalid."""
    endpoints = [_to_endpoint(endpoint_doc, settings) for endpoint_doc in doc.endpoints]
    return EndpointList(doc.index, doc.snapshot, endpoints)


def _to_endpoint(doc: EndpointDoc, settings: Settings) -> Endpoint:
    if not doc.name:
        raise EndpointListError("an endpoint has no name")
    is_since_valid = doc.since_ms >= 0.0
    if doc.group < 0 or not is_since_valid:
        raise EndpointListError(f"{doc.name}: group or since_ms is negative")
    host, port = parse_address(doc.address)
    entry = EndpointEntry(
        id=doc.name.encode(),
        weight=doc.weight,
        cell=doc.group,
        started_at_ms=doc.since_ms,  # Unix time like the proxy's clock: not converted, and 0 stays 0
        availability=_AVAILABILITY_BY_STATUS[doc.status],
        zone=_index_of(doc.zone, settings.zones),
        endpoint_type=_index_of(doc.type, settings.endpoint_types),
    )
    return Endpoint(entry, host, port)


def _index_of(name: str, known_names: list[str]) -> int:
    """Return the index of a zone or type in the settings.

    A name that the settings do not contain gets a number derived from its hash. If all unknown zones had the
    same number, a retry that is allowed only within a zone could be sent to another zone.
    """
    name = to_settings_name(name)
    if name in known_names:
        return known_names.index(name)
    return len(known_names) + crc32(name.encode())


def discovery_codec() -> HttpClientCodec:
    """Create the codec for a new connection to discovery."""
    return HttpClientCodec(LIST_LIMIT_BYTES)


def compose_list_request(codec: HttpClientCodec, host: str, request: ListRequest) -> bytes:
    """Encode a request for the complete list or for changes to it."""
    target = _LIST_PATH
    if request.since_revision is not None:
        target = f"{_LIST_PATH}?since={request.since_revision}&timeout_ms={request.wait_ms}"
    return codec.compose(b"GET", target.encode(), [(b"Host", host.encode())])


def read_list(response: HttpResponse, settings: Settings) -> EndpointList:
    """Decode the endpoint list in a response of discovery. Raises EndpointListError if there is none."""
    if response.status != _HTTP_OK:
        raise EndpointListError(f"discovery responded with status {response.status}")
    try:
        return to_endpoint_list(_decoder.decode(response.body), settings)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise EndpointListError(str(error)) from None
