"""Sockets: clients' connections, endpoints' connections, the endpoint list's calls."""
