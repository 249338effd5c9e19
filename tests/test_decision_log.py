"""Tests the decision log: its limit on lines, and endpoint names."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from loguru import logger

from alderspool.routing.decision_log import MAX_LINES, DecisionLog


@pytest.fixture
def log_lines() -> Iterator[list[str]]:
    lines: list[str] = []
    sink = logger.add(lines.append, format="{level.name} {message}")
    yield lines
    logger.remove(sink)


def test_drops_lines_over_the_limit(log_lines: list[str]) -> None:
    decision_log = DecisionLog()

    for number in range(MAX_LINES + 50):
        decision_log.info("line {}", number)

    assert len(log_lines) == MAX_LINES
    assert log_lines[-1] == f"INFO line {MAX_LINES - 1}\n"


def test_all_levels_share_the_limit(log_lines: list[str]) -> None:
    decision_log = DecisionLog(max_lines=4)

    decision_log.info("one")
    decision_log.warning("two")
    decision_log.error("three")
    decision_log.decision("four", [])
    decision_log.exception("five")

    assert log_lines == ["INFO one\n", "WARNING two\n", "ERROR three\n", "INFO balancer: four\n"]


def test_decision_shows_names_of_listed_endpoints_instead_of_ids(log_lines: list[str]) -> None:
    text = f"eject {b's1'.hex()} and {b's2'.hex()}, keep {b's3'.hex()}"

    DecisionLog().decision(text, [b"s1", b"s2"])

    assert log_lines == [f"INFO balancer: eject s1 and s2, keep {b's3'.hex()}\n"]


def test_exception_includes_the_traceback(log_lines: list[str]) -> None:
    try:
        raise ValueError("unusable")
    except ValueError:
        DecisionLog().exception("balancer failed on event {}", "Request")

    assert log_lines[0].startswith("ERROR balancer failed on event Request\n")
    assert "ValueError: unusable" in log_lines[0]
