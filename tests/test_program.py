"""Configuration and command line: an invalid configuration is reported in one line that contains its key."""

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
from alderspool.program.config import Address, load, load_for_reload
from alderspool.program.errors import ConfigError
from alderspool.program.flattening import flatten

DOC = {
    "name": "n1",
    "listen": "127.0.0.1:3000",
    "discovery": "127.0.0.2:8500",
    "seed": "8c1f30d27a5be964",
    "settings": SETTINGS,
}
ENDPOINT = {"name": "s1", "address": "127.0.0.1:80", "status": "ready"}


def write_config(tmp_path: Path, text: str) -> dict[str, str]:
    """Write the configuration file, and return environment variables that refer to it."""
    (tmp_path / "config.json").write_bytes(text.encode(errors="surrogateescape"))
    return {"BALANCER_CONFIG": str(tmp_path / "config.json")}


def test_flattens_settings_to_the_format_of_the_wire() -> None:
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


def test_environment_takes_precedence_over_the_file(tmp_path: Path) -> None:
    variables = write_config(tmp_path, json.dumps(DOC))
    variables |= {"BALANCER_LISTEN": "127.0.0.9:99", "BALANCER_NAME": "n7"}
    config = load(variables)
    assert config.name == "n7"
    assert config.listen == Address("127.0.0.9", 99)
    assert config.discovery == Address("127.0.0.2", 8500)
    assert config.seed == 0x8C1F30D27A5BE964
    assert config.limits.sockets == 1024
    assert [c.name for c in config.settings.classes] == ["look", "pay", "put"]


def test_discovery_address_of_the_file_takes_precedence_on_reload(tmp_path: Path) -> None:
    variables = write_config(tmp_path, json.dumps(DOC)) | {"BALANCER_DISCOVERY": "127.0.0.7:7"}
    assert load(variables).discovery == ("127.0.0.7", 7)
    assert load_for_reload(variables).discovery == ("127.0.0.2", 8500)
    variables |= write_config(tmp_path, json.dumps(DOC | {"discovery": ""}))
    assert load_for_reload(variables).discovery == ("127.0.0.7", 7)


def config_text(**keys: object) -> str:
    """Return the text of a configuration file with these keys replaced."""
    return json.dumps(DOC | keys)


INVALID_FILES = [
    pytest.param("{", "BALANCER_CONFIG", id="incomplete"),
    pytest.param("[]", "BALANCER_CONFIG", id="not-an-object"),
    pytest.param(config_text(seed=5), "seed", id="seed-not-a-string"),
    pytest.param(config_text(seed="xyz"), "seed", id="seed-not-hexadecimal"),
    pytest.param(config_text(listen="nowhere"), "BALANCER_LISTEN", id="listen-not-an-address"),
    pytest.param("\udcff", "BALANCER_CONFIG", id="not-utf-8"),
    pytest.param(config_text(discovery="10.0.0.1:0"), "BALANCER_DISCOVERY", id="discovery-port-0"),
    pytest.param(config_text(limits={"sockets": "many"}), "limits.sockets", id="sockets-not-a-number"),
    pytest.param(config_text(limits={"sockets": 3}), "limits.sockets", id="sockets-too-few"),
    pytest.param(config_text(known={"index": 1}), "known", id="known-incomplete"),
    pytest.param(config_text(settings=SETTINGS | {"zone": "left"}), "zone", id="zone-not-a-number"),
    pytest.param(
        config_text(settings={"classes": [{"name": "x"}]}), "classes.0.slo_ms", id="class-without-slo"
    ),
    pytest.param(
        json.dumps({key: value for key, value in DOC.items() if key != "settings"}),
        "settings",
        id="no-settings",
    ),
]


@pytest.mark.parametrize(("text", "key"), INVALID_FILES)
def test_reports_invalid_configuration_in_one_line_with_its_key(tmp_path: Path, text: str, key: str) -> None:
    variables = write_config(tmp_path, text)
    with pytest.raises(ConfigError, match=key):
        load(variables)
    for command in ("serve", "check-config"):
        result = CliRunner(env=variables).invoke(main, [command])
        assert result.exit_code == 2
        (line,) = result.stderr.splitlines()
        assert key in line


@pytest.mark.parametrize(
    ("text", "location", "problem"),
    [
        pytest.param(config_text(seed="xyz"), "seed", "not hexadecimal: 'xyz'", id="seed"),
        pytest.param(
            config_text(limits={"sockets": 3}), "limits.sockets", "below the minimum of 64: 3", id="limits"
        ),
        pytest.param(
            config_text(settings=SETTINGS | {"zone": "left"}),
            "settings.zone",
            "not a number: 'left'",
            id="settings",
        ),
    ],
)
def test_error_message_consists_of_location_and_problem(
    tmp_path: Path, text: str, location: str, problem: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        load(write_config(tmp_path, text))
    assert (caught.value.location, caught.value.problem) == (location, problem)
    assert str(caught.value) == f"{location}: {problem}"


def test_rejects_environment_without_configuration(tmp_path: Path) -> None:
    for variables in ({}, {"BALANCER_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(ConfigError, match="BALANCER_CONFIG"):
            load(variables)


def test_prints_version_and_configuration(tmp_path: Path) -> None:
    variables = write_config(tmp_path, json.dumps(DOC))
    assert CliRunner().invoke(main, ["version"]).output.startswith("alderspool ")
    result = CliRunner(env=variables).invoke(main, ["check-config"])
    assert result.exit_code == 0
    assert "127.0.0.1:3000" in result.output


def test_check_config_prints_its_fixed_line(tmp_path: Path) -> None:
    known = {"index": 1, "snapshot": True, "endpoints": [ENDPOINT]}
    variables = write_config(tmp_path, config_text(known=known))
    result = CliRunner(env=variables).invoke(main, ["check-config"])
    assert result.output == (
        "n1: listens at 127.0.0.1:3000, discovery at 127.0.0.2:8500,"
        " 3 classes, 1 tenants, 1 machines known, 1024 sockets\n"
    )


def test_reports_a_listen_address_that_cannot_be_bound(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other_listener:
        listen = f"127.0.0.1:{other_listener.getsockname()[1]}"
        variables = write_config(tmp_path, config_text(listen=listen, discovery="127.0.0.1:9"))
        process = subprocess.run(
            [sys.executable, "-m", "alderspool", "serve"],
            check=False,
            env=os.environ | variables,
            capture_output=True,
            text=True,
            timeout=30,
        )
    assert process.returncode == 2
    (line,) = process.stderr.splitlines()
    assert "BALANCER_LISTEN" in line
