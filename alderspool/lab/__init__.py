"""The laboratory measures the proxy from outside. The proxy never imports it; `make lint` checks that."""
