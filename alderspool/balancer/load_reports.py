"""Load reports between peers (instances that use the same endpoints): the open attempts of each."""

from dataclasses import dataclass

from alderspool.balancer.actions import SendToPeer
from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.load_report_codec import encode_entry, encode_messages
from alderspool.balancer.peer_loads import PeerLoads
from alderspool.balancer.settings import Settings

ENTRIES_PER_MESSAGE = 36  # as many as fit into one message to a peer
# Reports are sent only where fewer instances share an endpoint: each reports to each, at quadratic cost.
MAX_SHARING_INSTANCES = 8.0
PEER_SILENCE_MS = 2500.0  # a peer's reports are dropped after this silence: it has died or is cut off
FULL_REPORT_INTERVAL_MS = PEER_SILENCE_MS / 3


@dataclass(slots=True)
class LoadReports:
    """Decides what this instance reports to which peers."""

    settings: Settings
    peers: PeerLoads
    is_sending: bool

    def set_sharing_instances(self, sharing_instances: float) -> None:
        """Start or stop reporting, depending on how many instances share an endpoint."""
        self.is_sending = self.settings.peer_messages_allowed and sharing_instances < MAX_SHARING_INSTANCES

    def on_change(self, endpoint: EndpointState) -> list[SendToPeer]:
        """Report a change to the peers known to use the endpoint; reporting to all would flood them."""
        return [SendToPeer(encode_entry(endpoint), peer) for peer in endpoint.in_flight_by_peer]

    def full_report(self, endpoints: list[EndpointState]) -> list[SendToPeer]:
        """Report all endpoints to all instances: makes up for lost messages and tells who uses which."""
        if not self.is_sending:
            return []
        return [SendToPeer(data) for data in encode_messages(endpoints, ENTRIES_PER_MESSAGE)]
