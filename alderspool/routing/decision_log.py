"""The log of the balancer's decisions and of faults around them, bounded for the life of the program."""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from alderspool.balancer.events import EndpointId

# Log output may be kept in memory under a limit; without a bound, a long life could exceed it.
MAX_LINES = 200


class DecisionLog:
    """Writes at most `max_lines` lines to the program's log, and drops the rest."""

    def __init__(self, max_lines: int = MAX_LINES) -> None:
        """Start with no line written."""
        self._lines_left = max_lines

    def decision(self, text: str, endpoint_ids: Iterable[EndpointId]) -> None:
        """Log a line of the balancer.

        The balancer knows an endpoint by opaque bytes and logs them in hex; operators know its name.
        """
        for endpoint_id in endpoint_ids:
            text = text.replace(endpoint_id.hex(), endpoint_id.decode())
        self.info("balancer: {}", text)

    def info(self, text: str, *values: object) -> None:
        """Log what an operator may want to know."""
        if self._take_line():
            logger.info(text, *values)

    def warning(self, text: str, *values: object) -> None:
        """Log a fault outside the proxy that it can work around."""
        if self._take_line():
            logger.warning(text, *values)

    def error(self, text: str, *values: object) -> None:
        """Log a fault of the proxy itself."""
        if self._take_line():
            logger.error(text, *values)

    def exception(self, text: str, *values: object) -> None:
        """Log the exception that is being handled, with its traceback."""
        if self._take_line():
            logger.exception(text, *values)

    def _take_line(self) -> bool:
        if self._lines_left == 0:
            return False
        self._lines_left -= 1
        return True
