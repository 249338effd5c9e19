"""Errors that the operator has to correct before the proxy can start or reload."""

from __future__ import annotations


class ConfigError(ValueError):
    """The configuration is invalid; the message has the form "location: problem".

    The location is the name of an environment variable or a key of the configuration file.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}")
        self.location = location
        self.problem = problem
