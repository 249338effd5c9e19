"""Encoding and decoding of HTTP/1.1 messages and of discovery's JSON. No I/O and no routing decisions."""
