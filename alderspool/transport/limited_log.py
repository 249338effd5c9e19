"""Logging of faults that a flood of connections would otherwise repeat without end."""

from __future__ import annotations

from loguru import logger


class FirstWarningLog:
    """Logs the first warning and drops all further ones: one line for each would fill the log."""

    def __init__(self) -> None:
        self._has_logged = False

    def warn(self, text: str) -> None:
        """Log a warning, if it is the first."""
        if not self._has_logged:
            self._has_logged = True
            logger.warning(text)
