"""Load reports received from peers, the other proxy instances. The caller decides when a report expires."""

from __future__ import annotations

from alderspool.balancer.endpoint_list import EndpointList
from alderspool.balancer.events import PeerMessage
from alderspool.balancer.load_report_codec import decode_entries, is_well_formed


class PeerLoads:
    """Stores the latest load that each peer reported in the state of the endpoints."""

    def __init__(self, endpoint_list: EndpointList, instance_count: int) -> None:
        self._endpoint_list = endpoint_list
        self._instance_count = instance_count
        self._last_report_at: dict[int, float] = {}

    def receive(self, message: PeerMessage, now: float) -> bool:
        """Apply a peer's load report; return whether it was valid."""
        if not is_well_formed(message.data) or message.sender >= self._instance_count:
            return False
        self._last_report_at[message.sender] = now
        for endpoint_id, in_flight in decode_entries(message.data):
            endpoint = self._endpoint_list.endpoints_by_id.get(endpoint_id)
            if endpoint is not None:
                endpoint.set_peer_load(message.sender, in_flight)
        return True

    def expire_silent_peers(self, now: float, silence_ms: float) -> None:
        """Drop the reported load of peers that have sent no report for more than `silence_ms`."""
        for peer in [peer for peer, last_at in self._last_report_at.items() if now - last_at > silence_ms]:
            del self._last_report_at[peer]
            for endpoint in self._endpoint_list.endpoints_by_id.values():
                endpoint.clear_peer_load(peer)
