"""Runs a real proxy in a separate process on a free loopback port."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

from alderspool.lab.errors import RunError

READY_TIMEOUT_S = 20.0
_READY_POLL_INTERVAL_S = 0.02
_READY_RESPONSE_TIMEOUT_S = 5.0


class ProxyProcess:
    """One proxy process. It listens at `url` once `start` has returned."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self._port = free_port()
        self._configuration_path = folder / f"{name}.json"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """The URL that clients use."""
        return f"http://127.0.0.1:{self._port}"

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the proxy with this configuration and wait until it is ready. Raises RunError on failure."""
        document = {"name": self.name, "listen": f"127.0.0.1:{self._port}"} | configuration
        self._configuration_path.write_text(json.dumps(document))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "alderspool", "serve", "--log-level", "WARNING"),
            env=environment | {"BALANCER_CONFIG": str(self._configuration_path)},
            start_new_session=True,  # so that Ctrl-C interrupts only this process
        )
        self._process = process
        timeout_at = time.monotonic() + READY_TIMEOUT_S
        while not await is_ready(self._port):
            if process.returncode is not None or time.monotonic() > timeout_at:
                raise RunError(f"proxy {self.name} did not become ready (exit status {process.returncode})")
            await asyncio.sleep(_READY_POLL_INTERVAL_S)

    async def stop(self) -> int:
        """Send SIGTERM, wait until pending requests are completed, and return the exit status."""
        assert self._process is not None, "stop called before start"
        self._process.send_signal(signal.SIGTERM)
        return await self._process.wait()

    async def kill(self) -> None:
        """Kill the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()


def free_port() -> int:
    """Return a loopback port on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


async def is_ready(port: int) -> bool:
    """Return whether `GET /ready` on this loopback port returns 200."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), _READY_RESPONSE_TIMEOUT_S)
        writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line
