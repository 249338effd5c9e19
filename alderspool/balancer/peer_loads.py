"""The load reports of the peers. It chooses nothing: how long a silent peer counts is given."""

from __future__ import annotations

from alderspool.balancer.endpoint_list import EndpointList
from alderspool.balancer.events import PeerMessage
from alderspool.balancer.load_report_codec import decode_entries, is_well_formed


class PeerLoads:
    """Keeps what each peer reported last in the state of the endpoints."""

    def __init__(self, endpoint_list: EndpointList, instance_count: int) -> None:
        self._endpoint_list = endpoint_list
        self._instance_count = instance_count
        self._heard_at: dict[int, float] = {}

    def receive(self, message: PeerMessage, now: float) -> bool:
        """Take in a peer's report; return whether it was well-formed."""
        if not is_well_formed(message.data) or message.sender >= self._instance_count:
            return False
        self._heard_at[message.sender] = now
        for endpoint_id, in_flight in decode_entries(message.data):
            endpoint = self._endpoint_list.endpoints_by_id.get(endpoint_id)
            if endpoint is not None:
                endpoint.set_peer_load(message.sender, in_flight)
        return True

    def forget_silent(self, now: float, silence_ms: float) -> None:
        """Drop the reports of peers that were not heard for longer than is given."""
        for peer in [peer for peer, heard_at in self._heard_at.items() if now - heard_at > silence_ms]:
            del self._heard_at[peer]
            for endpoint in self._endpoint_list.endpoints_by_id.values():
                endpoint.forget_peer(peer)
