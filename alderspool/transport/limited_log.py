"""Logging that is limited, so that a flood of failing connections does not flood the log."""

from __future__ import annotations

from loguru import logger


class FirstWarningLog:
    """Logs only the first warning, because one line for each failed connection would fill the log."""

    def __init__(self) -> None:
        self._has_logged = False

    def warn(self, text: str) -> None:
        """Log a warning if it is the first."""
        if not self._has_logged:
            self._has_logged = True
            logger.warning(text)
