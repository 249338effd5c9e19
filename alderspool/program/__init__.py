"""The program: configuration, wiring, signals, graceful shutdown and the command line."""
