"""The endpoint list in discovery's JSON, and the calls that ask for it."""

from __future__ import annotations

import ipaddress
from typing import Literal
from zlib import crc32

import msgspec

from alderspool.balancer.events import Availability, EndpointEntry
from alderspool.balancer.settings import Settings
from alderspool.protocol.http_client import HttpClientCodec, HttpResponse
from alderspool.routing.messages import Endpoint, EndpointList

LIST_LIMIT = 4 << 20
_AVAILABILITY = {
    "ready": Availability.READY,
    "draining": Availability.DRAINING,
    "gone": Availability.GONE,
}


class EndpointListError(ValueError):
    """An answer of discovery that is no endpoint list."""


class EndpointDoc(msgspec.Struct):
    name: str
    address: str
    status: Literal["ready", "draining", "gone"]
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0


class EndpointListDoc(msgspec.Struct):
    index: int
    snapshot: bool
    endpoints: list[EndpointDoc]


_decoder = msgspec.json.Decoder(EndpointListDoc)


def as_setting(name: str) -> str:
    """A name as the settings write it."""
    return name.replace(" ", "_").replace(",", "_")


def parse_address(text: str) -> tuple[str, int]:
    """host:port, the host a literal IP address: there is no DNS to ask."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise EndpointListError(f"not an IP address and port: {text!r}") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise EndpointListError(f"not a port: {text!r}")
    return host.strip("[]"), int(port)


def _place(name: str, names: list[str]) -> int:
    """The number of a name; of one that we were not told one of its own, the same at each call: two unknown
    zones are not the same, or a repeat would be sent from the one to the other."""
    name = as_setting(name)
    return names.index(name) if name in names else len(names) + crc32(name.encode())


def to_endpoint_list(doc: EndpointListDoc, settings: Settings) -> EndpointList:
    endpoints = []
    for line in doc.endpoints:
        if not line.name:
            raise EndpointListError("an endpoint without a name")
        if not 0 <= line.group or not line.since_ms >= 0.0:
            raise EndpointListError(f"{line.name}: a group or since_ms below zero")
        host, port = parse_address(line.address)
        entry = EndpointEntry(
            id=line.name.encode(),
            weight=line.weight,
            cell=line.group,
            started_at_ms=line.since_ms,  # the clock reads Unix time: nothing to convert, 0 stays 0
            availability=_AVAILABILITY[line.status],
            zone=_place(line.zone, settings.zones),
            endpoint_type=_place(line.type, settings.endpoint_types),
        )
        endpoints.append(Endpoint(entry, host, port))
    return EndpointList(doc.index, doc.snapshot, endpoints)


def discovery_codec() -> HttpClientCodec:
    return HttpClientCodec(LIST_LIMIT)


def compose_call(wire: HttpClientCodec, host: str, since: int | None = None, wait_ms: int = 0) -> bytes:
    """A watch on what is newer than version `since`, or the whole list where that is None."""
    target = "/v1/endpoints" if since is None else f"/v1/endpoints?since={since}&timeout_ms={wait_ms}"
    return wire.compose(b"GET", target.encode(), [(b"Host", host.encode())])


def read_list(reply: HttpResponse, settings: Settings) -> EndpointList:
    if reply.status != 200:
        raise EndpointListError(f"discovery answered {reply.status}")
    try:
        return to_endpoint_list(_decoder.decode(reply.body), settings)
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise EndpointListError(str(fault)) from None
