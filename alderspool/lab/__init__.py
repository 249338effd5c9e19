"""Tools that measure the proxy from outside. The proxy never imports them; `make lint` checks that."""
