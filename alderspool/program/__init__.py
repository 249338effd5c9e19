"""The program: configuration, wiring, signals and the command line."""
