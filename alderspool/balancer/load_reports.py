"""Load reports between peers, the instances that use the same endpoints: what each has open there."""

from __future__ import annotations

from dataclasses import dataclass, field

from alderspool.balancer.actions import SendToPeer
from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.endpoint_list import EndpointList
from alderspool.balancer.events import PeerMessage
from alderspool.balancer.load_report_codec import decode_entries, encode_entry, is_well_formed
from alderspool.balancer.settings import Settings

ENTRIES_PER_MESSAGE = 36  # what fits into one message to the peers
# Reports go out only where fewer instances share an endpoint: each reports to each, the cost is quadratic.
MAX_SHARING_INSTANCES = 8.0
PEER_SILENCE_MS = 2500.0  # what a peer reported is dropped after this long: it has died or is cut off
FULL_REPORT_INTERVAL_MS = PEER_SILENCE_MS / 3


@dataclass(slots=True)
class LoadReports:
    """Sends the reports of this instance and keeps those of its peers."""

    settings: Settings
    endpoint_list: EndpointList
    is_sending: bool
    heard_at: dict[int, float] = field(default_factory=dict)

    def set_sharing_instances(self, sharing_instances: float) -> None:
        """Start or stop the reports by how many instances share an endpoint."""
        self.is_sending = self.settings.peer_messages_allowed and sharing_instances < MAX_SHARING_INSTANCES

    def on_change(self, endpoint: EndpointState) -> list[SendToPeer]:
        """Report a change to the peers known to use the endpoint; to all it would be a storm."""
        return [SendToPeer(encode_entry(endpoint), peer) for peer in endpoint.in_flight_by_peer]

    def full_report(self, endpoints: list[EndpointState]) -> list[SendToPeer]:
        """Report all, to all: it covers lost messages, and shows who uses which endpoints."""
        if not self.is_sending:
            return []
        entries = [encode_entry(endpoint) for endpoint in endpoints]
        return [
            SendToPeer(b"".join(entries[start : start + ENTRIES_PER_MESSAGE]))
            for start in range(0, len(entries), ENTRIES_PER_MESSAGE)
        ]

    def receive(self, message: PeerMessage, now: float) -> bool:
        """Take in a peer's report; return whether it was well-formed."""
        if not is_well_formed(message.data) or message.sender >= self.settings.instance_count:
            return False
        self.heard_at[message.sender] = now
        for endpoint_id, in_flight in decode_entries(message.data):
            endpoint = self.endpoint_list.endpoints_by_id.get(endpoint_id)
            if endpoint is not None:
                endpoint.set_peer_load(message.sender, in_flight)
        return True

    def forget_silent_peers(self, now: float) -> None:
        """Drop the reports of peers that were not heard lately."""
        for peer in [peer for peer, heard_at in self.heard_at.items() if now - heard_at > PEER_SILENCE_MS]:
            del self.heard_at[peer]
            for endpoint in self.endpoint_list.endpoints_by_id.values():
                endpoint.forget_peer(peer)
