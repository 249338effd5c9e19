"""What crosses the exchange: plain values, the same for every protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from lynxlift import interface as api


def _stays() -> bool:
    return False


@dataclass(slots=True)
class Submission:
    """One request of a submitter. `payload` is the protocol's own and passes through unread. `gone`: whether
    its submitter has left by now; asked just before each claim of it is written."""

    cls: int
    tenant: int
    key: int
    time_left_ms: float
    payload: Any
    name: bytes = b""  # the submitter's own id of it, unique among what is open; b"": none
    is_repeat: bool = False
    cost_hint_ms: float = 0.0
    gone: Callable[[], bool] = _stays


@dataclass(slots=True)
class Served:
    """An execute node's answer; `payload` is the protocol's own."""

    payload: Any


@dataclass(slots=True)
class RequeueNotice:
    """Refused: trying again is harmless."""

    retry_after_ms: float = 0.0  # 0 = no advice


@dataclass(slots=True)
class Failed:
    """Failed, with no word on whether it ran."""

    timed_out: bool = False


FinalAnswer = Served | RequeueNotice | Failed
AnswerCallback = Callable[[FinalAnswer], None]


@dataclass(slots=True)
class Machine:
    """One line of the machine list, with the address that this proxy reaches it at."""

    entry: api.ServerEntry
    host: str
    port: int


@dataclass(slots=True)
class MachineList:
    """What discovery said: the whole list, or what changed."""

    revision: int
    whole: bool
    machines: list[Machine]


@dataclass(slots=True, eq=False)
class Claim:
    """One attempt of a request at one execute node."""

    request_id: int
    number: int  # among the claims of its request, from 0
    node: api.ServerId
    host: str
    port: int
    payload: Any
    made_at: float
    expires_at: float
    written: bool = False  # its last byte was handed over: it may have run
    ended: bool = False
    carrier: Any = None  # the execute-node side's own handle


class ExecuteNodes(Protocol):
    """The execute-node side, as the exchange sees it."""

    def dispatch(self, claim: Claim) -> None:
        """Sends it off; its end is told to the exchange, unless it is withdrawn before."""

    def withdraw(self, claim: Claim) -> None:
        """Stops waiting for it, by closing its connection."""

    def close_idle(self, node: api.ServerId) -> None:
        """Closes the idle connections to a node."""

    def probe(self, node: api.ServerId, host: str, port: int) -> None:
        """Asks a node for its health; the result is told to the exchange."""


class Discovery(Protocol):
    """The source of the machine list, as the exchange sees it."""

    def watch(self, on: bool) -> None:
        """Starts or ends the watch on changes."""

    def fetch(self) -> None:
        """Asks for the whole list once."""
