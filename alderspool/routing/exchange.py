"""The exchange: where submitters' requests and execute nodes' claims meet, round the one Balancer.

It feeds the Balancer events one at a time and in order, carries out its actions, and keeps the
timers, the deadlines and the ledger of what is owed. It decides nothing and knows no protocol.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from loguru import logger

from alderspool.routing.clock import Clock
from alderspool.routing.messages import (
    AnswerCallback,
    Claim,
    Discovery,
    ExecuteNodes,
    Failed,
    FinalAnswer,
    Machine,
    MachineList,
    RequeueNotice,
    Served,
    Submission,
)
from lynxlift import interface as api
from lynxlift.rules import Balancer

S = api.Status
LOG_LINES = 200  # lines of the module's and of its faults that are logged in one life
ID_SPACE = 1 << 32


@dataclass(slots=True)
class Owed:
    """A request in the ledger: its final answer is owed, or claims of it are out."""

    submission: Submission
    answer: AnswerCallback
    deadline: float
    timer: asyncio.TimerHandle
    claims: list[Claim] = field(default_factory=list)
    out: int = 0
    concluded: bool = False


class Exchange:
    def __init__(self, settings: api.Settings, seed: int, clock: Clock) -> None:
        self._settings, self._clock = settings, clock
        self._balancer = Balancer(settings, seed)
        self._loop = asyncio.get_running_loop()
        self._nodes: ExecuteNodes
        self._discovery: Discovery
        self._machines: dict[api.ServerId, Machine] = {}
        self._ledger: dict[int, Owed] = {}
        self._open_names: set[bytes] = set()  # the submitters' own ids of what is in the ledger
        self._next_id = 0
        self._events: deque[api.Event] = deque()
        self._feeding = self._ended = False
        self._log_left = LOG_LINES
        self._list_failures = 0  # in a row
        self.counts = {"taken": 0, "served": 0, "requeued": 0, "failed": 0, "withdrawn": 0, "claims": 0}

    def start(self, nodes: ExecuteNodes, discovery: Discovery, known: MachineList) -> None:
        self._nodes, self._discovery = nodes, discovery
        self._carry_out(self._balancer.start(self._clock.now()))
        if not self._settings.watch_needed:
            self._discovery.watch(True)  # where changes are pushed the module does not ask; here we must
        self._take_list(known, api.ListMode.CACHED)

    # ---- the submitters' side ----------------------------------------------------------------

    @property
    def can_serve(self) -> bool:
        return any(m.entry.availability == api.Availability.READY for m in self._machines.values())

    @property
    def owed(self) -> int:
        """Requests whose final answer is still owed."""
        return sum(not owed.concluded for owed in self._ledger.values())

    def is_open(self, name: bytes) -> bool:
        """Whether a request of this name is in the ledger. One more could not be told from it: an execute
        node takes it for a copy, and an answer to the one would pass for an answer to the other."""
        return name in self._open_names

    def submit(self, submission: Submission, answer: AnswerCallback) -> int:
        """Takes a request; `answer` is called exactly once, perhaps before this returns."""
        self.counts["taken"] += 1
        if self._ended or len(self._ledger) >= self._settings.max_open:
            # Too late, or more than the settings let one instance hold: never reaches the module.
            self.counts["requeued"] += 1
            answer(RequeueNotice())
            return 0
        self._next_id = request_id = self._next_id % (ID_SPACE - 1) + 1
        deadline = self._clock.now() + submission.time_left_ms
        timer = self._loop.call_at(self._clock.loop_time(deadline), self._at_deadline, request_id)
        self._ledger[request_id] = Owed(submission, answer, deadline, timer)
        self._open_names.add(submission.name)
        self._feed(
            api.Request(
                request_id,
                submission.time_left_ms,
                submission.cls,
                submission.tenant,
                submission.key,
                submission.cost_hint_ms,
                submission.is_repeat,
            )
        )
        return request_id

    def end(self) -> None:
        """Answers at once whatever is still owed, and all that comes later: the program must leave now, and
        what it leaves without an answer is lost."""
        self._ended = True
        for request_id, owed in list(self._ledger.items()):
            if not owed.concluded:
                self._answer_for(request_id, owed)

    def withdraw(self, request_id: int) -> None:
        """The submitter went away: nothing is owed any longer."""
        owed = self._ledger.get(request_id)
        if owed is None or owed.concluded:
            return
        owed.concluded = True
        self.counts["withdrawn"] += 1
        self._feed(api.ClientGone(request_id))
        self._settle(request_id, owed)

    # ---- the execute nodes' side ---------------------------------------------------------------

    def may_write(self, claim: Claim) -> bool:
        """Asked just before a claim is written. Dialling takes time: a drain may have crossed it, its node
        may be elsewhere, or the time be over in which a repeat is harmless. The submitter may have left
        unseen too, its end behind bytes that nobody has read: nothing is owed then."""
        owed, now = self._ledger.get(claim.request_id), self._clock.now()
        if claim.ended or owed is None or owed.concluded or now >= claim.expires_at:
            return False
        if not self._is_there(claim) or not self._balancer.may_begin(now, claim.request_id):
            return False
        if owed.submission.gone():
            self.withdraw(claim.request_id)
            return False
        return True

    def time_left_ms(self, claim: Claim) -> float:
        return claim.expires_at - self._clock.now()

    def claim_ended(self, claim: Claim, status: int, payload: object = None) -> None:
        """How a claim ended. The first that is served answers its request."""
        owed = self._ledger.get(claim.request_id)
        if claim.ended or owed is None:
            return
        claim.ended = True
        owed.out -= 1
        if status == S.OK and not owed.concluded:
            self._conclude(claim.request_id, owed, Served(payload), "served")
        took = self._clock.now() - claim.made_at
        self._feed(api.Outcome(claim.request_id, claim.number, claim.node, status, took, owed.concluded))
        self._settle(claim.request_id, owed)

    def probe_ended(self, node: api.ServerId, status: int, took_ms: float) -> None:
        self._feed(api.Probed(node, status, took_ms))

    # ---- the machine list's side ---------------------------------------------------------------

    def list_told(self, told: MachineList) -> None:
        if self._list_failures:
            self._log("info", "discovery answers again, after {} calls that failed", self._list_failures)
            self._list_failures = 0
        self._take_list(told, api.ListMode.FULL if told.whole else api.ListMode.DELTA)

    def list_failed(self, why: str) -> None:
        """A call to discovery failed: the old list holds."""
        self._list_failures += 1
        if self._list_failures == 1:  # it is asked again and again: one line each would fill the log
            self._log("warning", "discovery: {}", why)
        self._feed(api.ServerList(api.ListMode.FAILED, []))

    def _take_list(self, told: MachineList, mode: api.ListMode) -> None:
        before = self._machines
        machines = {} if mode != api.ListMode.DELTA else dict(before)
        machines.update((m.entry.id, m) for m in told.machines)
        self._machines = {
            name: m for name, m in machines.items() if m.entry.availability != api.Availability.GONE
        }
        for name, machine in before.items():
            now = self._machines.get(name)
            moved = now is None or (now.host, now.port) != (machine.host, machine.port)
            if moved or now.entry.availability != api.Availability.READY:
                self._nodes.close_idle(name)  # nothing new goes there, or it is reached elsewhere now
        self._feed(api.ServerList(mode, [m.entry for m in told.machines], told.revision))

    def _is_there(self, claim: Claim) -> bool:
        """Whether its node is ready, and still where the claim was to go: one that went and came again
        elsewhere has left something else at its old address."""
        machine = self._machines.get(claim.node)
        if machine is None or machine.entry.availability != api.Availability.READY:
            return False
        return (machine.host, machine.port) == (claim.host, claim.port)

    # ---- the Balancer: events in, actions out ---------------------------------------------------

    def _feed(self, event: api.Event) -> None:
        """One event at a time: what an action brings about waits until the Balancer has returned."""
        self._events.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                event = self._events.popleft()
                if type(event) is api.Outcome and not event.finished:
                    # An action between may have concluded the request: it must not be sent again.
                    owed = self._ledger.get(event.id)
                    event.finished = owed is None or owed.concluded
                try:
                    self._carry_out(self._balancer.handle(self._clock.now(), event))
                except Exception:  # a fault over one event must not cost the other requests their answers
                    self._log("exception", "the decision module failed on {}", type(event).__name__)
        finally:
            self._feeding = False

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            self._ACTIONS[type(action)](self, action)

    def _send(self, action: api.Send) -> None:
        owed = self._ledger.get(action.id)
        if owed is None:
            return  # over, and no claim of it is out: there is nothing to report it to
        now = self._clock.now()
        expires = min(owed.deadline, now + action.timeout_ms) if action.timeout_ms else owed.deadline
        machine = self._machines.get(action.server)
        host, port = (machine.host, machine.port) if machine else ("", 0)
        claim = Claim(
            action.id, len(owed.claims), action.server, host, port, owed.submission.payload, now, expires
        )
        owed.claims.append(claim)
        owed.out += 1
        if claim.number >= self._settings.max_attempts or not self.may_write(claim):
            # Over, out of time, too many, or its node drains: such a claim must never reach a node.
            self.claim_ended(claim, S.NEVER_SENT)
            return
        self.counts["claims"] += 1
        if expires < owed.deadline:
            self._loop.call_at(self._clock.loop_time(expires), self._expire, claim)
        self._nodes.dispatch(claim)

    def _refuse(self, action: api.Refuse) -> None:
        self._conclude_by(action.id, RequeueNotice(action.retry_after_ms), "requeued")

    def _fail(self, action: api.Fail) -> None:
        owed = self._ledger.get(action.id)
        late = owed is not None and self._clock.now() >= owed.deadline
        self._conclude_by(action.id, Failed(timed_out=late), "failed")

    def _cancel(self, action: api.Cancel) -> None:
        owed = self._ledger.get(action.id)
        if owed is None or action.attempt >= len(owed.claims) or owed.claims[action.attempt].ended:
            return  # its outcome is already on its way
        claim = owed.claims[action.attempt]
        self._nodes.withdraw(claim)
        self.claim_ended(claim, S.CANCELLED)

    def _set_timer(self, action: api.SetTimer) -> None:
        self._loop.call_later(action.delay_ms / 1000.0, self._feed, api.TimerDue(action.token))

    def _probe(self, action: api.Probe) -> None:
        machine = self._machines.get(action.server)
        if machine is None or not self._settings.can_probe:
            self._feed(api.Probed(action.server, S.NEVER_SENT, 0.0))
        else:
            self._nodes.probe(action.server, machine.host, machine.port)

    def _module_log(self, action: api.Log) -> None:
        """The module knows a machine by the bytes of its name and logs them in hex; people know the name."""
        text = action.text
        for name in self._machines:
            text = text.replace(name.hex(), name.decode())
        self._log("info", "module: {}", text)

    def _log(self, level: str, text: str, *parts: object) -> None:
        if self._log_left > 0:  # the log is kept in memory: one that grows without end would kill us
            self._log_left -= 1
            getattr(logger, level)(text, *parts)

    _ACTIONS = {
        api.Send: _send,
        api.Refuse: _refuse,
        api.Fail: _fail,
        api.Cancel: _cancel,
        api.SetTimer: _set_timer,
        api.Probe: _probe,
        api.Watch: lambda self, action: self._discovery.watch(action.on),
        api.FetchList: lambda self, action: self._discovery.fetch(),
        api.CloseIdle: lambda self, action: self._nodes.close_idle(action.server),
        api.TellPeer: lambda self, action: None,  # the protocol has no channel between proxies
        api.Log: _module_log,
    }

    # ---- the ledger -------------------------------------------------------------------------------

    def _conclude_by(self, request_id: int, answer: FinalAnswer, how: str) -> None:
        owed = self._ledger.get(request_id)
        if owed is not None and not owed.concluded:  # exactly one final answer
            self._conclude(request_id, owed, answer, how)
            self._settle(request_id, owed)

    def _conclude(self, request_id: int, owed: Owed, answer: FinalAnswer, how: str) -> None:
        owed.concluded = True
        self.counts[how] += 1
        try:
            owed.answer(answer)
        except Exception:  # one submitter's broken connection must not keep the outcome from the module
            self._log("exception", "an answer could not be given")

    def _settle(self, request_id: int, owed: Owed) -> None:
        if owed.concluded and not owed.out:
            owed.timer.cancel()
            if self._ledger.pop(request_id, None) is not None:
                self._open_names.discard(owed.submission.name)

    def _expire(self, claim: Claim) -> None:
        """Its time is over. What was not yet written has surely not run."""
        if not claim.ended:
            self._nodes.withdraw(claim)
            self.claim_ended(claim, S.TIMEOUT if claim.written else S.NEVER_SENT)

    def _at_deadline(self, request_id: int) -> None:
        """No claim outlives its request: a node that stays silent must not leave it unanswered."""
        owed = self._ledger.get(request_id)
        if owed is None:
            return
        for claim in [c for c in owed.claims if not c.ended]:
            self._expire(claim)
        if not owed.concluded:
            # The module still holds it: what is owed by now is owed whatever the module thinks.
            wait = self._settings.answer_slack_ms / 1000.0
            owed.timer = self._loop.call_later(wait, self._overdue, request_id)

    def _overdue(self, request_id: int) -> None:
        owed = self._ledger.get(request_id)
        if owed is not None and not owed.concluded:
            self._log("error", "request {} overdue: the module left it unanswered", request_id)
            self._answer_for(request_id, owed)

    def _answer_for(self, request_id: int, owed: Owed) -> None:
        """The final answer in the module's place, which takes it as it takes a submitter's leaving."""
        self._conclude(request_id, owed, Failed(timed_out=True), "failed")
        self._feed(api.ClientGone(request_id))
        self._settle(request_id, owed)
