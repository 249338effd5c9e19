"""Models of what surrounds a proxy: endpoints, discovery, the front load balancer and clients.

They do no I/O and read no clock: times are passed in, in ms, and random numbers come from seeded numpy
generators. So the same models run behind sockets and in virtual time; nothing here imports asyncio.
"""
