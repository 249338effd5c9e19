"""Errors that end a command of the laboratory with one line on standard error."""

from __future__ import annotations


class InputError(Exception):
    """The input is invalid; the message names its source and the reason. Exit status 2."""


class RunError(Exception):
    """The run failed and has no result. Exit status 1."""
