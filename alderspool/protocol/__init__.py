"""HTTP/1.1 and JSON as values in and values out: no policy, no sockets."""
