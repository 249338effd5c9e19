"""The README's example runs, and prints what the README states."""

from __future__ import annotations

import re
from pathlib import Path


def test_example_prints_what_its_comment_states(capsys) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    (expected,) = re.findall(r"print\(send\)  # (.*)", code)
    assert capsys.readouterr().out.strip() == expected
