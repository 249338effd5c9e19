"""The endpoint list in discovery's JSON, and the HTTP requests for it. No I/O."""

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
    """A response of discovery, or a configured list, that is not an endpoint list; the text says why."""


class EndpointDoc(msgspec.Struct):
    """One endpoint as JSON; the field names are discovery's."""

    name: str
    address: str  # host:port
    status: Literal["ready", "draining", "gone"]
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0  # start of the endpoint, Unix time; 0: long ago


class EndpointListDoc(msgspec.Struct):
    """The list as JSON; the field names are discovery's."""

    index: int
    snapshot: bool  # complete; else only the endpoints that have changed
    endpoints: list[EndpointDoc]


@dataclass(frozen=True, slots=True)
class ListRequest:
    """What to request of discovery.

    `since_revision`: only what has changed after this revision; None: the complete list. `wait_ms`: how long
    discovery may delay its response while nothing has changed; without effect on the complete list.
    """

    since_revision: int | None = None
    wait_ms: int = 0


_decoder = msgspec.json.Decoder(EndpointListDoc)


def to_settings_name(name: str) -> str:
    """Return a name as it is written in the settings, which allow neither blanks nor commas."""
    return name.replace(" ", "_").replace(",", "_")


def parse_address(text: str) -> tuple[str, int]:
    """Split host:port. The host is a literal IP address, since there is no DNS to resolve names.

    Raises EndpointListError.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise EndpointListError(f"not an IP address and port: {text!r}") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise EndpointListError(f"not a port: {text!r}")
    return host, int(port)


def to_endpoint_list(doc: EndpointListDoc, settings: Settings) -> EndpointList:
    """Convert decoded JSON to the proxy's own values. Raises EndpointListError."""
    endpoints = [_to_endpoint(endpoint_doc, settings) for endpoint_doc in doc.endpoints]
    return EndpointList(doc.index, doc.snapshot, endpoints)


def _to_endpoint(doc: EndpointDoc, settings: Settings) -> Endpoint:
    if not doc.name:
        raise EndpointListError("an endpoint without a name")
    is_since_valid = doc.since_ms >= 0.0
    if doc.group < 0 or not is_since_valid:
        raise EndpointListError(f"{doc.name}: a group or since_ms below zero")
    host, port = parse_address(doc.address)
    entry = EndpointEntry(
        id=doc.name.encode(),
        weight=doc.weight,
        cell=doc.group,
        started_at_ms=doc.since_ms,  # the proxy's clock reads Unix time: nothing to convert, 0 stays 0
        availability=_AVAILABILITY_BY_STATUS[doc.status],
        zone=_index_of(doc.zone, settings.zones),
        endpoint_type=_index_of(doc.type, settings.endpoint_types),
    )
    return Endpoint(entry, host, port)


def _index_of(name: str, known_names: list[str]) -> int:
    """Return the index of a zone or type in the settings.

    A name that the settings do not have gets a number of its own, the same each time. If two unknown zones
    were equal, a retry that is allowed within a zone could be sent from the one to the other.
    """
    name = to_settings_name(name)
    if name in known_names:
        return known_names.index(name)
    return len(known_names) + crc32(name.encode())


def discovery_codec() -> HttpClientCodec:
    """Return the codec for a new connection to discovery."""
    return HttpClientCodec(LIST_LIMIT_BYTES)


def compose_list_request(codec: HttpClientCodec, host: str, request: ListRequest) -> bytes:
    """Return the bytes of a request for the complete list, or for a watch on changes to it."""
    target = _LIST_PATH
    if request.since_revision is not None:
        target = f"{_LIST_PATH}?since={request.since_revision}&timeout_ms={request.wait_ms}"
    return codec.compose(b"GET", target.encode(), [(b"Host", host.encode())])


def read_list(response: HttpResponse, settings: Settings) -> EndpointList:
    """Return the list in a response of discovery. Raises EndpointListError for anything else."""
    if response.status != _HTTP_OK:
        raise EndpointListError(f"discovery responded with status {response.status}")
    try:
        return to_endpoint_list(_decoder.decode(response.body), settings)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise EndpointListError(str(error)) from None
