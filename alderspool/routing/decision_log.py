"""Log of the balancer's decisions and of related faults, limited to a number of lines per program run."""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from alderspool.balancer.events import EndpointId

# Log output may be kept in memory under a limit, which a long-running proxy could exceed without this bound.
MAX_LINES = 200


class DecisionLog:
    """Writes at most `max_lines` messages, over all levels, to the program's log and drops the rest."""

    def __init__(self, max_lines: int = MAX_LINES) -> None:
        """Create a log with all of its `max_lines` left."""
        self._lines_left = max_lines

    def decision(self, text: str, endpoint_ids: Iterable[EndpointId]) -> None:
        """Log a message of the balancer, with endpoint ids replaced by endpoint names.

        To the balancer, endpoint ids are opaque bytes, which it logs in hex. They are in fact the endpoints'
        encoded names, by which operators know them.
        """
        for endpoint_id in endpoint_ids:
            text = text.replace(endpoint_id.hex(), endpoint_id.decode())
        self.info("balancer: {}", text)

    def info(self, text: str, *values: object) -> None:
        """Log information for operators."""
        if self._reserve_line():
            logger.info(text, *values)

    def warning(self, text: str, *values: object) -> None:
        """Log a fault outside the proxy that the proxy can handle."""
        if self._reserve_line():
            logger.warning(text, *values)

    def error(self, text: str, *values: object) -> None:
        """Log a fault of the proxy itself."""
        if self._reserve_line():
            logger.error(text, *values)

    def exception(self, text: str, *values: object) -> None:
        """Log the exception that is being handled, with its traceback."""
        if self._reserve_line():
            logger.exception(text, *values)

    def _reserve_line(self) -> bool:
        """Return whether another line may be logged, and count it if so."""
        if self._lines_left == 0:
            return False
        self._lines_left -= 1
        return True
