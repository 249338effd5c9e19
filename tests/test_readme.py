"""Runs the README's example, and compares its output with the comment in it."""

from __future__ import annotations

import re
from pathlib import Path


def test_example_prints_the_output_that_its_comment_states(capsys) -> None:
    readme = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", readme, re.S)
    exec(compile(example, "README.md", "exec"), {})
    (expected,) = re.findall(r"print\(send\)  # (.*)", example)
    assert capsys.readouterr().out.strip() == expected
