"""Sockets: submitters' connections, execute nodes' connections, the machine list's calls."""
