"""Errors that end a command of the laboratory with one line on standard error."""

from __future__ import annotations


class InputError(Exception):
    """The input is unusable; the message names the file, the key and the reason. Exit status 2."""


class RunError(Exception):
    """The run has no result. Exit status 1."""
