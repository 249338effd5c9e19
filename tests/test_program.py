"""Configuration and command line: what is unusable is named in one line."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from rig import SETTINGS

from alderspool.program.cli import main
from alderspool.program.config import ConfigError, flatten, load

DOC = {
    "name": "n1",
    "listen": "127.0.0.1:3000",
    "discovery": "127.0.0.2:8500",
    "seed": "8c1f30d27a5be964",
    "settings": SETTINGS,
}


def environ(tmp_path: Path, text: str) -> dict[str, str]:
    (tmp_path / "config.json").write_bytes(text.encode(errors="surrogateescape"))
    return {"BALANCER_CONFIG": str(tmp_path / "config.json")}


def test_settings_are_flattened_as_the_wire_writes_them() -> None:
    nested = {
        "a": {"b": True, "c": 1000.0, "d": None},
        "list": ["x y", "p,q"],
        "empty": [],
        "rows": [{"n": 1, "deep": {"m": False}}, {"n": 2}],
    }
    assert flatten(nested) == {
        "a.b": "true",
        "a.c": "1000.0",
        "a.d": "",
        "list": "x_y,p_q",
        "empty": "",
        "rows.count": "2",
        "rows.0.n": "1",
        "rows.0.deep.m": "false",
        "rows.1.n": "2",
    }


def test_the_environment_comes_before_the_file(tmp_path: Path) -> None:
    told = environ(tmp_path, json.dumps(DOC)) | {"BALANCER_LISTEN": "127.0.0.9:99", "BALANCER_NAME": "n7"}
    config = load(told)
    assert (config.name, config.listen, config.discovery) == ("n7", ("127.0.0.9", 99), ("127.0.0.2", 8500))
    assert config.seed == 0x8C1F30D27A5BE964 and config.limits.sockets == 1024
    assert [c.name for c in config.settings.classes] == ["look", "pay", "put"]


def test_read_anew_the_file_says_where_discovery_is(tmp_path: Path) -> None:
    told = environ(tmp_path, json.dumps(DOC)) | {"BALANCER_DISCOVERY": "127.0.0.7:7"}
    assert load(told).discovery == ("127.0.0.7", 7)
    assert load(told, anew=True).discovery == ("127.0.0.2", 8500)
    told |= environ(tmp_path, json.dumps(DOC | {"discovery": ""}))
    assert load(told, anew=True).discovery == ("127.0.0.7", 7)


BAD = [
    ("{", "BALANCER_CONFIG"),
    ("[]", "BALANCER_CONFIG"),
    (json.dumps(DOC | {"seed": 5}), "seed"),
    (json.dumps(DOC | {"seed": "xyz"}), "seed"),
    (json.dumps(DOC | {"listen": "nowhere"}), "BALANCER_LISTEN"),
    ("\udcff", "BALANCER_CONFIG"),
    (json.dumps(DOC | {"discovery": "10.0.0.1:0"}), "BALANCER_DISCOVERY"),
    (json.dumps(DOC | {"limits": {"sockets": "many"}}), "limits.sockets"),
    (json.dumps(DOC | {"limits": {"sockets": 3}}), "limits.sockets"),
    (json.dumps(DOC | {"known": {"index": 1}}), "known"),
    (json.dumps(DOC | {"settings": SETTINGS | {"zone": "left"}}), "zone"),
    (json.dumps(DOC | {"settings": {"classes": [{"name": "x"}]}}), "classes.0.slo_ms"),
    (json.dumps({k: v for k, v in DOC.items() if k != "settings"}), "settings"),
]


@pytest.mark.parametrize(("text", "key"), BAD)
def test_bad_configuration_is_one_line_that_names_the_key(tmp_path: Path, text: str, key: str) -> None:
    told = environ(tmp_path, text)
    with pytest.raises(ConfigError, match=key):
        load(told)
    for command in ("serve", "check-config"):
        result = CliRunner(env=told).invoke(main, [command])
        assert result.exit_code == 2
        (line,) = result.stderr.splitlines()
        assert key in line


def test_an_environment_without_configuration(tmp_path: Path) -> None:
    for told in ({}, {"BALANCER_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(ConfigError, match="BALANCER_CONFIG"):
            load(told)


def test_the_commands_that_only_tell(tmp_path: Path) -> None:
    told = environ(tmp_path, json.dumps(DOC))
    assert CliRunner().invoke(main, ["version"]).output.startswith("alderspool ")
    result = CliRunner(env=told).invoke(main, ["check-config"])
    assert result.exit_code == 0 and "127.0.0.1:3000" in result.output


def test_an_address_that_cannot_be_had_is_named(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        told = environ(tmp_path, json.dumps(DOC | {"listen": listen, "discovery": "127.0.0.1:9"}))
        command = [sys.executable, "-m", "alderspool", "serve"]
        done = subprocess.run(command, env=os.environ | told, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2
    (line,) = done.stderr.splitlines()
    assert "BALANCER_LISTEN" in line
