"""The errors of the program: what its operator has to mend before it can start or reload."""

from __future__ import annotations


class ConfigError(ValueError):
    """The configuration is unusable; the message is "place: problem".

    The place is an environment variable, or a key of the configuration file.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem
