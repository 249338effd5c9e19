"""The load tool. It is open loop: a slow response never delays the next request."""
