"""Models of the environment of a proxy: endpoints, discovery, the front load balancer and clients.

The models do no I/O and read no clock: the caller passes the time in ms, and random numbers come from seeded
numpy generators. The same models can therefore run in real time behind sockets and in simulated time. Nothing
here imports asyncio.
"""
