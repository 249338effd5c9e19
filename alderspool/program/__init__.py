"""The proxy process: command line, configuration, start-up, signal handling and graceful shutdown."""
