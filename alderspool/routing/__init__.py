"""Routes client requests to endpoints as the balancer decides. Independent of HTTP."""
