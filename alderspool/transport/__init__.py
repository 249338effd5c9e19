"""Socket handling: connections from clients, connections to endpoints, and calls to discovery."""
