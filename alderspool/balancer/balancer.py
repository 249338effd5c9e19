"""Every decision of the load balancer. Its settings, events and actions are in the modules beside it.

It learns a speed figure per server and class, blends them by its own class mix into weights, W(i) = sum of
share_c * P_c(i), and spreads requests by an interleaved weighted rotation (credits). All else is an exception
to that; each names the failure it guards against, and docs/design.md states when it acts.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from math import exp, inf
from random import Random

from alderspool.balancer.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    Log,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    Watch,
)
from alderspool.balancer.events import (
    NEVER_RAN,
    AttemptStatus,
    Availability,
    ClientDisconnected,
    EndpointEntry,
    EndpointId,
    EndpointListUpdate,
    Event,
    HealthChecked,
    Outcome,
    PeerMessage,
    Request,
    ResponseStarted,
    TimerFired,
    UpdateMode,
)
from alderspool.balancer.settings import DeduplicationScope, Idempotency, Settings

# ---- tuning constants: none is fitted to one deployment; times in ms -----------------------
REFRESH = 100.0  # weights are rebuilt this often: far under human time, rare enough to be cheap
REFRESH_REQUESTS, REFRESH_MAX = 4.0, 500.0  # but not before so many requests came, or so long passed
SUBSET = 6  # servers an instance uses at least: few enough to know each, enough to lose some
SUBSET_COVER = 6.0  # and so many that each server is used by about this many instances, to even out
SUBSET_SLACK = 0.3  # kept though it could use fewer by this share: what it knows of each would be lost
GOLDEN = 0.6180339887  # golden ratio: its multiples are even among any part of the instances
GONE_KEPT = 30000.0  # servers keep their place in the order so long after they left the list
FIGURE_MEMORY = 4000.0  # EWMA memory of the speed figures: tens of samples, yet quick to notice a slowdown
MIX_MEMORY = 10000.0  # EWMA memory of the class mix and the traffic volume
CLASS_PRIOR = 6.0  # a class figure leans on the server's overall one by this many attempts (rare classes)
SEED_PRIOR = 3.0  # a new server's figure leans on its seed by this many attempts
FAIL_COST = 4.0  # a failure counts as in-flight time of this many usual attempts: failing fast is not speed
FLOOR = 0.03  # least weight, of the mean: every ready server keeps some turns and can show that it recovered
ZONE_WEIGHT = 10.0  # servers of other zones have their weight lowered by this multiple of the crossing price
TURN_SLACK = 1.3  # a server holding more than this multiple of its share (and one more) passes its turn
STALL_FACTOR = 2.5  # no answer for this many usual latencies with work open: stalled, passes its turn
PASSED_OVER = (
    4  # with so many answered that were sent later, an attempt is lost and holds no place any longer
)
FAIR_TIME = 2.5  # a time-out counts against its server from this many usual latencies on
BACKOFF_TURNS = 2.0  # the first wait lasts this many turns of a server, where others look after it as well
BACKOFF_MAX = 4000.0  # a wait after failures in a row is never longer, so that recovery is noticed
# After failed calls discovery is asked again within this; a drain counts as told after 6 s, heard or not.
ASK_AGAIN_MAX = 4000.0
BAD_AFTER = 3  # failures in a row after which a server counts as bad
# A server that fails one kind of request gets none of it for so long, doubling up to the second figure.
FLOW_WAIT, FLOW_MAX = 3000.0, 12000.0
DOUBTED_DOUBLINGS = 2  # while the judgement is doubted the wait stays short, unless a server says full
PANIC_SHARE = 0.5  # with more of the fleet than this judged bad, the judgement is doubted, not the fleet
RETRY_EARN, RETRY_BANK = 0.2, 20.0  # retry budget: earned by each request, kept at most
HEDGE_FACTOR = 3.0  # a second copy goes out after this many usual latencies; sooner it hits what is just long
# Cold servers get this multiple of their stated share of what warm ones do: that share is the least they can
# do, and whoever holds back leaves all of it to the warm ones.
BUDGET_SHARE = 2.4
BUDGET_MULTIPLE = 0.6  # but no more than this share of the multiple that tips them: windows cover unevenly
# Requests that the first mix counts for, equal counts would give the long nearly all; and the first traffic.
MIX_PRIOR = 30.0
# A loss on a connection idle for over the first sets the time trusted to this share; it regrows by the third.
IDLE_LEAST, IDLE_MARGIN, IDLE_MEMORY = 300.0, 0.7, 20000.0
CONNECTS_DEAR, CONNECTS_FINE = 0.1, 0.02  # share not connected: open ones go first; as good as none
SHUT_BEHIND = 1e9  # credits by which a shut server stands behind any that only holds more than its share
LIMIT_START = 3.0  # concurrency limit of a mean server before anything is learned
LIMIT_START_ALL = 5.0  # and of all that share it, where they do not tell what they hold
LIMIT_MEMORY, LIMIT_SAMPLES = (
    700.0,
    1.0,
)  # latency is averaged over this, with so many attempts of no bad news
LIMIT_PART = 0.5  # an attempt is slow that takes more than this share of its class's aim
LIMIT_SLOW = 0.15  # share of slow work that is right: less would leave servers idle, more makes much late
LIMIT_USED = 0.7  # of the limit must be out before it is raised: else something else holds requests back
LIMIT_FALL = 4.0  # e-folds a second by which the limit falls with all slow
LIMIT_RISE, LIMIT_MOST = 3.0, 12.0  # a second, all siblings together, with nothing slow; most
# With less than the first at a server, all siblings together, nobody waits there. What is slow even so for
# the second is slow by itself: all servers but one get nothing for the third, as choked ones need. If that is
# no help they are slow by nature, and only what is late counts. The one is changed if silent for the last.
LIMIT_BARE, LIMIT_SURE, LIMIT_REST, LIMIT_SILENT = 1.0, 1500.0, 5500.0, 700.0
# A rest empties a server only if all who use it rest: with more sharing it, one's own is so much refused.
LIMIT_SHARERS = 4.0
LIMIT_AGAIN = 20000.0  # after a rest there is none for so long: servers slow by nature must not be idle often
LIMIT_RELIEF = 0.55  # of the usual latency at the one that does not rest ends the rest
LIMIT_PATIENT = 3.0  # times the first, no more while only what is late counts: it would push siblings out
# A class is long if even a quick one takes the first share of the aim of a class with this share of requests.
PART_FACTOR, PART_SHARE = 0.75, 0.1
PART_HOLD = 0.2  # share of its aim that short work waits for its part of the fleet, then it may go anywhere
PEER_ENTRIES = 36  # of seven bytes: what fits into one message to the peers
PEER_SHARERS = 8.0  # they tell only where fewer share a server: each tells each, the cost is quadratic
PEER_SILENCE = 2500.0  # what a peer said of its in-flight counts is dropped after this long (peer died)
# A request is held until its aim less so many usual latencies, between these shares of its aim: to send it
# later would be for nothing.
HOLD_MARGIN, HOLD_LEAST, HOLD_MOST = 1.5, 0.1, 0.4
PUMP_TRIES = 4  # held requests tried at a time: one bound to few servers must not stop the others
KEY_LINE = 32  # requests of one key in line at most
TICK = 8.0  # while requests are held, they are looked at this often
LOG_LINES = 60  # log lines per life of an instance

T_TICK, T_HEDGE, T_WATCH, T_PEERS, T_TURN = range(5)  # low bits of a timer token; request id above
ERROR, OK, REJECTED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NEVER_SENT = range(8)  # AttemptStatus


Flow = tuple[int, int]  # class and tenant; -1: all


def _told(s: EndpointState) -> bytes:
    return s.id + bytes((min(s.inflight, 255),))


class EndpointState:
    """What this instance knows of one server."""

    def __init__(self, entry: EndpointEntry, groups: int) -> None:
        self.id: EndpointId = entry.id
        self.served, self.busy = [0.0] * groups, [0.0] * groups  # EWMA sums per class: served, time in flight
        self.spent = [0.0] * groups  # busy with the time of open attempts
        self.open, self.open_at = [0] * groups, [0.0] * groups  # open attempts, sum of their send times
        self.weight, self.frac, self.credit = 0.0, 0.0, -inf
        self.speed = 1.0  # overall figure: usual latencies' worth of work per ms in flight
        self.for_long, self.turn = False, 0  # in the part that long work keeps to; place in its order
        self.limit = self.own = 1  # what all may hold here, and we whatever our peers hold
        self.inflight = self.peer_sum = 0  # our open attempts; those of all peers
        self.sent = self.lost = 0  # attempts so far; open ones that were passed over, see PASSED_OVER
        self.out: dict[int, int] = {}  # for each open one how many were answered that were sent later
        self.peers: dict[int, int] = {}  # what each peer that uses this server says it has open here
        self.fails = self.conns = 0  # in a row; connections that we should have open here
        self.flows: dict[Flow, tuple[int, float, int]] = {}  # failures, shut until, first seen with
        self.blocked_until, self.failed_at = 0.0, -inf
        self.quiet_since = self.patience = 0.0  # since when no open attempt was answered; what is usual
        self.tokens = self.rate = 0.0  # cold-start budget
        self.dead = False  # connections failed: what comes back is a cold process
        self.ready, self.started, self.seen = True, 0.0, 0.0
        self.size, self.cell, self.zone = 0.0, 0, 0


class Line(list["RequestState"]):
    """Requests of one key that must run one at a time, in the order in which they came."""

    rest_until = -inf  # an attempt may still be running until then, though its outcome is told


class RequestState:
    """A request that still owes its final answer, or has attempts out."""

    def __init__(
        self, request: Request, group: int, now: float, aim: float, hold: float, quantum: float
    ) -> None:
        self.id, self.cls, self.group = request.id, request.cls, group
        self.aim, self.hold_until, self.part_until = now + aim, now + hold, now + PART_HOLD * aim
        self.flows: tuple[Flow, ...] = ((group, request.tenant), (group, -1), (-1, request.tenant))
        self.rank = 0  # place among the held: 0 in time, 1 over its tenant's share, 2 late
        self.deadline = now + request.time_left_ms
        self.end = self.deadline - TICK - 2 * quantum  # the last moment for a final answer of our own
        # Server, sent at, load, idle, place among those sent there; None: ended.
        self.tries: list[tuple[EndpointState, float, int, float, int] | None] = []
        self.used: list[EndpointId] = []
        self.open, self.finished = 0, False
        self.line: Line | None = None  # where order is kept: that of its key
        self.in_line = False  # waits there for its turn
        self.ran = False  # an ended attempt may have run
        self.ran_at, self.ran_zone, self.ran_cell = 0.0, 0, 0


class Balancer:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.cfg = settings
        self.random, self.log_left = Random(seed), LOG_LINES
        self.now, self.out = 0.0, list[Action]()
        self.servers: dict[EndpointId, EndpointState] = {}
        self.ready = list[EndpointState]()  # the ready servers that this instance uses
        self.listed = self.bad = self.watch_failures = 0
        n, least_aim = len(settings.classes), min(c.latency_objective_ms for c in settings.classes)
        self.hinted, self.mean_hint = n == 1, 0.0  # one class: the cost hint splits it in two
        self.groups = 2 if self.hinted else n
        self.alike = [
            1.0
        ] * n  # share of requests in calm times that have about as much; else taken for later tries
        self.given_up_at = -inf
        self.first_try = [0.0] * n  # the longest time a client of the class gives one try
        self.mix = [MIX_PRIOR * least_aim / c.latency_objective_ms for c in settings.classes] + [
            1e-6
        ] * self.hinted
        self.usual = [c.latency_objective_ms / 4.0 for c in settings.classes] * (2 if self.hinted else 1)
        self.quick = [u / 2.0 for u in self.usual]  # latency with hardly any wait
        self.long = [False] * self.groups  # classes kept apart
        self.lat_sum, self.lat_n = [0.0] * self.groups, [0.0] * self.groups
        self.mean_usual = sum(self.usual) / self.groups
        self.arrived = self.arrived_now = 0.0  # EWMA of arriving work, in usual requests per ms
        self.planned = (
            sum(t.quota_rps for t in settings.tenants) / 1000.0 / settings.instance_count
        )  # a mean part
        self.width = inf  # servers that it uses
        self.born, self.refreshed = 0.0, -inf
        self.mean_size, self.carried = 1.0, 0.0  # work per ms and size that warm servers are seen to do
        self.knee, self.patient = LIMIT_START, False  # concurrency limit of a mean server; only late counts
        self.bare_since = self.rest_until = -inf
        self.awake: EndpointState | None = None  # goes on while all others rest, and rests after them
        self.relief = 1.0  # EWMA of its latency over the usual one meanwhile
        self.room, self.sharers = inf, 1.0  # limit of all servers together; instances that use the same ones
        self.answered = self.slow = self.late = 0.0  # EWMA sums of work answered; of that slowly; too late
        self.doubted = False  # most servers look bad: the judgement is doubted, not the fleet
        self.jobs: dict[int, RequestState] = {}
        self.waiting: list[tuple[int, int, RequestState]] = []
        self.seq, self.inflight, self.ticking = 0, 0, False
        self.retry_tokens, self.unconnected = RETRY_BANK / 2, 0.0  # and share of attempts without connection
        self.idle_trust = 1e6  # connections idle for longer may have been dropped unseen
        self.taken_at, self.extra_at = deque[float](), deque[float]()  # where an attempts budget is stated
        self.lines: dict[int, Line] = {}
        proofs = NEVER_RAN - ({AttemptStatus.REJECTED} if settings.rejected_may_have_run else set())
        self.ran_nothing = tuple(sorted(proofs))  # statuses which prove that an attempt never ran
        self.telling = settings.peer_messages_allowed
        self.peer_heard: dict[int, float] = {}
        self.tenant_rate = [0.0] * max(len(settings.tenants), 1)

    def start(self, now: float) -> list[Action]:
        self.born, self.out = now, []
        if self.cfg.list_on_request:
            self.out.append(Watch())
        if self.cfg.peer_messages_allowed and self.cfg.instance_count > 1:
            self.out.append(SetTimer(T_PEERS, REFRESH * self.random.random()))
        return self.out

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now, self.out = now, []
        age = now - self.refreshed
        if age >= REFRESH and (self.arrived_now >= REFRESH_REQUESTS or age >= REFRESH_MAX):
            self._refresh()
        self._HANDLERS[type(event)](self, event)
        return self.out

    def _on_list(self, event: EndpointListUpdate) -> None:
        if event.mode == UpdateMode.FAILED:
            # Discovery overloaded: ask again with jittered back-off, sooner than we are deemed informed.
            self.watch_failures += 1
            wait = min(500.0 * 2**self.watch_failures, ASK_AGAIN_MAX, self.cfg.list_max_age_ms)
            self.out.append(SetTimer(T_WATCH, wait * (0.5 + 0.5 * self.random.random())))
            return
        self.watch_failures = 0
        listed = {entry.id for entry in event.entries}
        for server in self.servers.values():
            server.seen = self.now if server.ready else server.seen
            if event.mode != UpdateMode.DELTA and server.id not in listed:
                server.ready = False  # whoever is missing from a complete list has been removed
        for entry in event.entries:
            self._update(entry)
        gone = self.now - GONE_KEPT
        self.servers = {s.id: s for s in self.servers.values() if s.ready or s.inflight or s.seen > gone}
        self._subset()
        self._refresh()  # at once: what is held must not burst onto a server that the list shows as cold
        self._pump()

    def _subset(self) -> None:
        """A window of the list by id: where many meet many, each would know nothing of any, its connections
        would idle. Windows start evenly spread; failing servers do not fill them."""
        zones: dict[int, list[EndpointState]] = {}
        for s in sorted(self.servers.values(), key=lambda s: s.id):
            zone = zones.setdefault(s.zone, [])
            s.turn = int(f"{len(zone):016b}"[::-1], 2)  # neighbours far apart: every window has its part
            zone.append(s)
        # Zones in proportion, and only what is ready: with half a window from each, or with gaps where some
        # have gone, the few of a small zone and those behind a gap would bear a multiple of the others' load.
        places: list[tuple[float, int, EndpointState]] = []
        for number, zone in zones.items():
            up = [s for s in zone if s.ready]
            places += [((rank + 0.5) / len(up), number, s) for rank, s in enumerate(up)]
        ring = [s for _, _, s in sorted(places)]  # no two share place and zone: servers are never compared
        start = int(self.cfg.instance_number * GOLDEN % 1.0 * len(ring))
        first, self.ready, self.listed = not self.listed, [], len(ring)
        room = self.width = self._wanted()
        for s in ring[start:] + ring[:start]:
            if room > 0.0:
                self.ready.append(s)
                room -= 1.0 if s.fails < BAD_AFTER else 0.0
        self.ready.sort(key=lambda s: (s.turn, s.id))
        self.sharers = sharers = max(
            self.cfg.instance_count * min(self._cover() / max(self.listed, 1), 1.0), 1.0
        )
        self.telling = self.cfg.peer_messages_allowed and sharers < PEER_SHARERS
        if first and not self.telling:  # nothing learned: hundreds at once would start a jam
            self.knee = min(LIMIT_START, max(LIMIT_START_ALL / max(sharers, 1.0), 1.0))

    def _cover(self) -> float:
        return max(SUBSET, SUBSET_COVER * self.listed / self.cfg.instance_count)

    def _wanted(self) -> float:
        """How many servers to use: one with several times its part of the traffic needs as many times more,
        or what it uses is full of it alone."""
        if self.planned <= 0.0:
            return self._cover()
        known = min(self.now - self.born, MIX_MEMORY)
        part = (self.arrived * known + MIX_PRIOR) / (self.planned * known + MIX_PRIOR)
        return self._cover() * max(part, 1.0)

    def _update(self, entry: EndpointEntry) -> None:
        server = self.servers.get(entry.id)
        ready = entry.availability == Availability.READY
        if server is None:
            if not ready:
                return
            server = self.servers[entry.id] = EndpointState(entry, self.groups)
            server.started, server.tokens = entry.started_at_ms, self.random.random()
        elif entry.started_at_ms > server.started + 1.0 or (ready and not server.ready):
            # A restarted process: its old figures and failures say nothing of the new one.
            server.started = max(entry.started_at_ms, server.started)
            server.served, server.busy = [0.0] * self.groups, [0.0] * self.groups
            server.blocked_until, server.tokens = 0.0, self.random.random()
            server.credit, server.fails, server.dead, server.flows = -inf, 0, False, {}
        server.ready = ready  # draining or gone: nothing new from this moment on
        if self.cfg.weights_listed and 0.0 < entry.weight < inf:  # else as big as the others are on average
            # A live size sinks with the load, and a cold, empty server would look the biggest: the most seen.
            server.size = max(entry.weight, server.size if self.cfg.weights_live else 0.0)
        elif server.size <= 0.0:
            server.size = self.mean_size
        server.cell, server.zone = entry.cell, entry.zone

    def _refresh(self) -> None:
        """Rebuilds weights, limits and budgets; the per-request path only reads them."""
        now, bad = self.now, sum(1 for s in self.ready if s.fails >= BAD_AFTER)
        wanted = self._wanted()
        if bad != self.bad or wanted >= self.width + 1.0 or wanted < (1.0 - SUBSET_SLACK) * self.width:
            self._subset()
        self.bad, ready = bad, self.ready
        dt = min(max(now - self.refreshed, 1e-3), 1000.0)
        self.refreshed = now
        fade, mix_fade = exp(-dt / FIGURE_MEMORY), exp(-dt / MIX_MEMORY)
        total_mix = sum(self.mix)
        share = [m / total_mix for m in self.mix]
        self.idle_trust *= 1.0 + dt / IDLE_MEMORY
        for totals in (self.lat_sum, self.lat_n, self.mix, self.tenant_rate):
            totals[:] = [total * mix_fade for total in totals]
        for g in range(self.groups):
            if self.lat_n[g] > 0.5:
                self.usual[g] = (self.lat_sum[g] + 3.0 * self.usual[g]) / (self.lat_n[g] + 3.0)
        self.mean_usual = max(sum(f * u for f, u in zip(share, self.usual, strict=True)), 1e-3)
        warm_up = min(now - self.born + dt, MIX_MEMORY)
        self.arrived += (self.arrived_now / dt - self.arrived) * min(1.0, dt / max(warm_up, 1.0))
        self.arrived_now = 0.0
        if not ready:
            return
        fleet = sum(s.size for s in ready)
        self.mean_size = mean_size = fleet / len(ready)
        self.doubted = bad > PANIC_SHARE * len(ready)
        # Overall figure, open attempts included: who swallows work silently sinks before any time-out tells.
        prior, groups, warm_done = SEED_PRIOR * self.mean_usual, range(self.groups), 0.0
        warm_servers, warm_size, top_size = 0, 0.0, inf
        for s in ready:
            s.served, s.busy = [n * fade for n in s.served], [b * fade for b in s.busy]
            s.spent = [s.busy[g] + s.open[g] * now - s.open_at[g] for g in groups]
            done = sum(s.served[g] * self.usual[g] for g in groups)
            s.speed = (done + prior * s.size / mean_size) / (sum(s.spent) + prior)
            if self._warmth(s) >= 1.0 and not s.fails:
                warm_done, warm_size, warm_servers = warm_done + done, warm_size + s.size, warm_servers + 1
        if warm_size:
            if (
                self.cfg.weights_live
            ):  # seen under load only, empty cold servers list a multiple of the others
                top_size = warm_size / warm_servers
            per_ms = self.mean_usual * min(FIGURE_MEMORY, now - self.born + dt)
            self.carried += (warm_done / per_ms / warm_size - self.carried) * min(1.0, dt / max(warm_up, 1.0))
        weights = [0.0] * len(ready)
        for g in groups:
            usual, lean = self.usual[g], CLASS_PRIOR * self.usual[g]
            figures = [(s.served[g] * usual + lean * s.speed) / (s.spent[g] + lean) for s in ready]
            scale = 100.0 * share[g] / sum(figures)  # normalized to 100, blended by the class mix
            weights = [weight + figure * scale for weight, figure in zip(weights, figures, strict=True)]
        floor, total = FLOOR * 100.0 / len(ready), 0.0
        budget_share = min(BUDGET_SHARE, BUDGET_MULTIPLE * self.cfg.cold_overload_factor)
        remote = max(1.0 - ZONE_WEIGHT * self.cfg.cross_zone_cost, FLOOR)
        for s, weight in zip(ready, weights, strict=True):
            weight = max(weight, floor)
            warm = self._warmth(s)
            weight *= warm if s.zone == self.cfg.zone else warm * remote
            s.rate = inf
            if warm < 1.0:
                # Cold ramp: a budget by what warm servers are seen to do, scaled to what must work. What
                # arrives counts repeats and refused work, so it serves only while no warm server was seen.
                s.rate = budget_share * warm * min(s.size, top_size) * (self.carried or self.arrived / fleet)
                # Levels start at random, unused tokens lapse: else hundreds spend a saved one at once.
                s.tokens += s.rate * dt
                s.tokens -= s.tokens > 1.0 + s.rate * 0.5 * self.cfg.cold_overload_window_ms
            s.limit = max(1, int(self.knee * s.size / mean_size * warm + 0.9))
            # Whoever has an answer first would refill every free place and starve its peers.
            s.own = s.limit // (len(s.peers) + 1)
            if s.fails >= BAD_AFTER:  # half-open: one trial at a time
                s.limit = s.own = 1
            s.weight = weight
            total += weight
        self._part(share)
        for s in ready:
            s.frac = TURN_SLACK * s.weight / total if total > 0.0 else 0.0
            if s.credit == -inf:  # new: any phase, else all siblings start at the same server
                s.credit = s.weight - total * self.random.random() if self.cfg.instance_count > 1 else 0.0
        self._learn_limit(dt)
        self._affords()  # forgets what lies before its window
        if self.lines:  # nothing is kept of keys long idle
            self.lines = {k: line for k, line in self.lines.items() if line or line.rest_until > now}
        if self.cfg.peer_messages_allowed:
            self._forget_silent_peers()

    def _part(self, share: list[float]) -> None:
        """One long request in front makes a short one late. Where a class outlasts another's aim, it keeps to
        its part of the fleet: the first servers in an order on which all instances agree unheard."""
        aims = [
            c.latency_objective_ms for c, f in zip(self.cfg.classes, share, strict=False) if f > PART_SHARE
        ]
        self.long = [q > PART_FACTOR * min(aims, default=inf) for q in self.quick]
        part = 0.0
        if any(self.long) and not all(self.long):
            work = [f * q for f, q in zip(share, self.quick, strict=True)]
            healthy = sum(s.size * self._warmth(s) for s in self.ready if s.fails < BAD_AFTER)
            part = healthy * sum(w for w, long in zip(work, self.long, strict=True) if long) / sum(work)
        for s in self.ready:
            size = s.size * self._warmth(s)
            s.for_long = s.fails < BAD_AFTER and part >= 0.5 * size
            part -= size if s.for_long else 0.0

    def _warmth(self, s: EndpointState) -> float:  # the share of its capacity that it surely has by now
        age = max(self.now - s.started, 0.0)
        if s.started <= 0.0 or age >= self.cfg.slow_start_ms:
            return 1.0
        return (
            self.cfg.initial_capacity_share
            + (1.0 - self.cfg.initial_capacity_share) * age / self.cfg.slow_start_ms
        )

    def _learn_limit(self, dt: float) -> None:
        """The concurrency limit: as much as is answered well within its aim. More would wait at the servers,
        slow them and be late. What siblings send shows in the same latency, so all meet at the same limit."""
        bare, known, now = LIMIT_BARE / self.sharers, self.answered + LIMIT_SAMPLES, self.now
        slow = self.slow / known
        if self.patient and slow <= LIMIT_SLOW and now > self.rest_until + LIMIT_MEMORY:
            self.patient = False
        slow = self.late / known if self.patient else slow
        if slow > LIMIT_SLOW:
            self.knee *= exp(LIMIT_FALL * (LIMIT_SLOW - slow) * dt / 1000.0)
        elif self.waiting and self.inflight > LIMIT_USED * self.room:  # it holds something back
            self.knee += LIMIT_RISE / self.sharers * (1.0 - slow / LIMIT_SLOW) * dt / 1000.0
        if self.patient or self.knee >= bare or slow <= LIMIT_SLOW:
            self.bare_since = now
        elif now - self.bare_since > LIMIT_SURE:
            self.patient = True
            if self.sharers <= LIMIT_SHARERS and now > self.rest_until + LIMIT_AGAIN:
                self.rest_until, self.awake, self.relief = now + LIMIT_REST, None, 1.0
                self._log(f"rest: {slow:.0%} slow with hardly any load; all servers but one rest")
        most = LIMIT_PATIENT * bare if self.patient else LIMIT_MOST
        self.knee = bare if now < self.rest_until else min(max(self.knee, bare), most)
        fade = exp(-dt / LIMIT_MEMORY)
        self.answered, self.slow, self.late = self.answered * fade, self.slow * fade, self.late * fade
        healthy = [s for s in self.ready if s.fails < BAD_AFTER]
        able = [s for s in healthy if not s.inflight or now - s.quiet_since <= s.patience]
        self._rest(healthy, able)
        # What silent and leaving servers hold takes no place from the others.
        size, held = sum(s.size * self._warmth(s) for s in able), sum(s.inflight for s in able)
        self.room = max(self.knee * size / self.mean_size, 1.0) + self.inflight - held

    def _rest(self, healthy: list[EndpointState], able: list[EndpointState]) -> None:
        """All but one rest, then that one: the way back of servers that stay slow until nearly idle."""
        s = self.awake
        if self.relief < LIMIT_RELIEF and self.now < self.rest_until:  # without rest: the trouble is over
            self.rest_until, self.awake, self.patient = self.now - LIMIT_REST, None, False
        elif self.now < self.rest_until:
            if s not in healthy or s.inflight and self.now - s.quiet_since > LIMIT_SILENT:
                s = self.awake = next(iter(able), None)
            for other in self.ready:
                other.limit = other.own = int(s is None or other is s)
        elif s is not None and self.now < self.rest_until + LIMIT_REST:
            s.limit = s.own = 0

    def _pick(self, job: RequestState) -> EndpointState | None:
        """The next server of the rotation for this request; None: hold it."""
        if job.tries and not self._affords() or self.inflight >= self.room and not self.telling:
            return None
        now, total_open = self.now, self.inflight
        group = job.group
        least = min(self.usual[group] / self.mean_usual, 1.0)
        best = spare = None
        best_credit = spare_credit = -inf
        total = 0.0
        apart = any(self.long) and (self.long[group] or now < job.part_until)
        long, dear = self.long[group], self.unconnected > CONNECTS_DEAR
        elsewhere = 0 < len(job.used) < len(self.ready)  # a further attempt goes where none has been
        bound = job.ran or job.open > 0  # a guarded request that may have run stays inside its group
        for s in self.ready:
            weight = s.weight
            held = s.inflight - s.lost  # a server that swallows some of its work is not full of it
            if weight <= 0.0 or held + s.peer_sum >= s.limit and held >= s.own:
                continue
            if apart and s.for_long != long or s.blocked_until > now or s.tokens < least and s.rate < inf:
                continue
            if s.inflight and now - s.quiet_since > s.patience:
                continue  # stalled: pauses and hangs show as silence long before a time-out
            if bound and not self._in_group(job, s) or elsewhere and s.id in job.used:
                continue
            credit = s.credit + weight
            if s.flows and any(f in s.flows and s.flows[f][1] > now for f in job.flows):
                if now >= job.part_until and credit - SHUT_BEHIND > spare_credit:  # waited: better than none
                    spare, spare_credit = s, credit - SHUT_BEHIND
                continue
            # Holds far more than its share, or needs a new connection where these often fail: passes a turn.
            if held > 1.0 + s.frac * total_open or dear and s.inflight >= s.conns:
                if credit > spare_credit:
                    spare, spare_credit = s, credit
                continue
            s.credit = credit
            total += weight
            if credit > best_credit:
                best, best_credit = s, credit
        if best is not None:
            best.credit -= total
            return best
        return spare

    def _in_group(self, job: RequestState, s: EndpointState) -> bool:
        c = self.cfg.classes[job.cls]
        if c.idempotency != Idempotency.KEYED or self.now > self._memory_end(job):
            return c.idempotency == Idempotency.IDEMPOTENT
        by_zone, by_cell = s.zone == job.ran_zone, s.cell == job.ran_cell
        return c.deduplication_scope == DeduplicationScope.ALL or (
            by_zone if c.deduplication_scope == DeduplicationScope.ZONE else by_cell
        )

    def _may_send(self, job: RequestState) -> bool:
        if job.finished or len(job.tries) >= self.cfg.max_attempts or self.now >= job.deadline:
            return False
        if job.open and not self.cfg.hedging_allowed:
            return False
        idempotency = self.cfg.classes[job.cls].idempotency
        if idempotency == Idempotency.IDEMPOTENT or not (job.ran or job.open):
            return True
        return idempotency == Idempotency.KEYED and self.now <= self._memory_end(job)

    def _affords(self) -> bool:
        """The retry budget: attempts beyond the first for a share of the requests only, else they multiply an
        overload; what never ran cost a server a connection or its 'full'. A stated budget comes on top."""
        taken, extra, cfg = self.taken_at, self.extra_at, self.cfg
        since = self.now - cfg.retry_budget_window_ms  # a sliding window, with a step of the clock as margin
        while extra and extra[0] < since - cfg.clock_step_ms:
            extra.popleft()
        while taken and taken[0] < since + cfg.clock_step_ms:
            taken.popleft()
        stated = (
            cfg.retry_budget_floor + cfg.retry_budget_ratio * len(taken)
            if cfg.retry_budget_window_ms > 0.0
            else inf
        )
        return self.retry_tokens >= 1.0 and len(extra) + 1 <= stated

    def may_begin(self, now: float, request_id: int) -> bool:
        """Asked as an attempt goes out, perhaps long after it was decided: it waited for its connection. A
        repeat that comes when its key is no longer remembered would run a second time."""
        job = self.jobs.get(request_id)
        if job is None or len(job.tries) < 2 or self.cfg.classes[job.cls].idempotency != Idempotency.KEYED:
            return job is not None
        return now <= self._memory_end(job)

    def _memory_end(
        self, job: RequestState
    ) -> float:  # until then repeats are surely dropped, transit included
        return job.ran_at + self.cfg.classes[job.cls].deduplication_window_ms - 4 * self.cfg.clock_step_ms

    def _send(self, job: RequestState, s: EndpointState) -> None:
        now, group = self.now, job.group
        if not (job.ran or job.open):  # from now on it may be running here
            job.ran_at, job.ran_zone, job.ran_cell = now, s.zone, s.cell
        if job.tries:
            self.retry_tokens -= 1.0
            if self.cfg.retry_budget_window_ms > 0.0:
                self.extra_at.append(now)
        idle = now - s.quiet_since if s.conns > s.inflight else 0.0  # of the connection that would be used
        if idle > self.idle_trust and self.unconnected < CONNECTS_FINE:
            self.out.append(CloseIdle(s.id))  # may have been dropped unseen: a new one
            idle = 0.0
        s.sent += 1
        s.out[s.sent] = 0
        job.tries.append((s, now, s.inflight - s.lost + s.peer_sum, idle, s.sent))
        job.open += 1
        job.used.append(s.id)
        if not s.inflight:
            s.quiet_since, s.patience = now, 0.0
        s.patience = max(
            s.patience, min(STALL_FACTOR * self.usual[group], self.cfg.classes[job.cls].latency_objective_ms)
        )
        s.inflight += 1
        s.conns = max(s.conns, s.inflight)
        s.open[group] += 1
        s.open_at[group] += now
        self.inflight += 1
        if s.rate < inf:
            s.tokens -= self.usual[group] / self.mean_usual
        self.out.append(Send(job.id, s.id, 0.0))
        if self.telling:
            self._tell(s)
        if self.cfg.hedging_allowed and self._may_send(job):
            self.out.append(SetTimer(job.id << 3 | T_HEDGE, HEDGE_FACTOR * self.usual[group]))

    def _end_attempt(self, event: Outcome) -> RequestState | None:
        job = self.jobs.get(event.id)
        if job is None or event.attempt >= len(job.tries) or job.tries[event.attempt] is None:
            return None  # not held, or told twice
        s, sent, load, idle, place = job.tries[event.attempt]
        job.tries[event.attempt] = None
        passed = s.out.pop(place)
        s.lost -= passed >= PASSED_OVER
        if event.status == OK:
            for earlier in s.out:
                if earlier < place:
                    s.out[earlier] += 1
                    s.lost += s.out[earlier] == PASSED_OVER
        group, now, status = job.group, self.now, event.status
        took = now - sent
        if job.line is not None and status in (TIMEOUT, RESET, CANCELLED):
            job.line.rest_until = now + self.cfg.key_quiesce_ms  # it may be running on
        job.open -= 1
        self.inflight -= 1
        s.inflight -= 1
        s.open[group] -= 1
        s.open_at[group] = s.open_at[group] - sent if s.open[group] else 0.0
        s.quiet_since = now
        if status == RESET and idle > IDLE_LEAST and self.unconnected < CONNECTS_FINE:
            self.idle_trust = max(min(self.idle_trust, IDLE_MARGIN * idle), IDLE_LEAST)
        s.conns = s.inflight if status in (CONNECT_FAILED, RESET) else s.conns
        self.unconnected += ((status == CONNECT_FAILED) - self.unconnected) * 0.05
        if status in (OK, TIMEOUT) and s.rate == inf:  # a cold server is slow at any load
            work, aim = self.usual[group] / self.mean_usual, self.cfg.classes[job.cls].latency_objective_ms
            self.answered += work
            self.slow += work if took > LIMIT_PART * aim else 0.0
            self.late += work if took > aim else 0.0
        if status == OK:
            if s.flows:
                for flow in job.flows:  # a rate-limited kind is served now and then: halved, not forgotten
                    fails, until, last = s.flows.pop(flow, (0, 0.0, 0))
                    if fails > 1:
                        s.flows[flow] = (fails // 2, until, last)
            s.served[group] += 1.0
            s.busy[group] += took
            s.fails = 0
            if s is self.awake:
                self.relief += (took / self.usual[group] - self.relief) * 0.2
            self.lat_sum[group] += took
            self.lat_n[group] += 1.0
            self.quick[group] *= 1.003 if took > self.quick[group] else 0.983  # 15th percentile
            if s.dead:  # back from a crash before the list says so: treat it as just started
                s.dead, s.started, s.tokens = False, now, 0.0
        else:
            self._judge(s, job, status, sent, took, passed)
        if self.telling:
            self._tell(s)
        return job

    def _judge(
        self, s: EndpointState, job: RequestState, status: int, sent: float, took: float, passed: int
    ) -> None:
        now, group, usual = self.now, job.group, self.usual[job.group]
        if status in (CANCELLED, NEVER_SENT) or status == TIMEOUT and took < FAIR_TIME * usual:
            s.busy[group] += took  # sent too late to be served: that speaks of us, not of the server
            return
        s.busy[group] += max(took, usual if status == REJECTED else FAIL_COST * usual)
        # One that answered nothing else meanwhile is silent to all: no kind is to blame, back-off is enough.
        of_kind = status in (ERROR, REJECTED) or status == TIMEOUT and passed
        if of_kind and len(self.cfg.classes) + len(self.cfg.tenants) > 1:
            self._shut(s, job)
        if sent < s.failed_at:
            return  # attempts lost together, in one pause, are one failure
        # Back-off: crashed, hanging, failing and full servers alike get one trial at a time, each failure
        # in a row doubling the wait, until one is served. A first one costs next to nothing.
        s.fails += 1
        s.failed_at = now
        doublings = min(s.fails - 1, DOUBTED_DOUBLINGS if self.doubted and status != REJECTED else 10)
        # A wait that ends before the server's next turn spares it nothing; yet all who share it together
        # need not try it more rarely than one would alone.
        turn = len(self.ready) / max(self.arrived, 1e-6)
        wait = max(usual, min(BACKOFF_TURNS * turn, self.sharers * usual))
        s.blocked_until = now + min(wait * 2**doublings, BACKOFF_MAX)
        s.dead = s.dead or status == CONNECT_FAILED and s.fails >= BAD_AFTER
        if s.fails == BAD_AFTER:
            self._log(f"eject {s.id.hex()}: {s.fails} failures in a row, last status {status}")

    def _log(self, text: str) -> None:
        if self.log_left > 0:
            self.log_left -= 1
            self.out.append(Log(text))

    def _shut(self, s: EndpointState, job: RequestState) -> None:
        """A server may fail or turn away one kind and serve the others. The judgement is as narrow as the
        evidence: this class of this tenant; all of either once a second kind failed with none served."""
        for flow, other in zip(job.flows, (-1, job.flows[2][1], job.group), strict=True):
            fails, until, last = s.flows.get(flow, (0, 0.0, other))
            if other == -1 or last != other or until:
                fails, until = fails + 1, self.now + min(FLOW_WAIT * 2**fails, FLOW_MAX)
            s.flows[flow] = (fails, until, last)

    def _on_outcome(self, event: Outcome) -> None:
        job = self._end_attempt(event)
        if job is not None:
            self._settle(job, event)
        self._pump()

    def _settle(self, job: RequestState, event: Outcome) -> None:
        status = event.status
        job.ran = job.ran or status not in self.ran_nothing
        if event.finished and not job.finished:
            self._finish(job)
        if job.finished and not job.open:
            self._forget(job)
        if job.finished or job.open:
            return
        if self._may_send(job) and self._affords() and not self._too_late(job):
            self._place(job)
        else:
            self._give_up(job)

    def _too_late(self, job: RequestState) -> bool:
        """A further attempt would not be in time even if it were quick."""
        worthless = self.cfg.classes[job.cls].late_priority_weight <= 0.0
        return self.now >= job.end or worthless and self.now + self.quick[job.group] > job.aim

    def _finish(self, job: RequestState) -> None:
        """The request is over. Copies still out are called off where copies are made at all."""
        job.finished = True
        if self.cfg.cancel_allowed and self.cfg.hedging_allowed:
            for number, attempt in enumerate(job.tries):
                if attempt is not None:
                    self.out.append(Cancel(job.id, number))
        if not job.open:
            self._forget(job)

    def _give_up(self, job: RequestState) -> None:
        """The final answer, a refusal where that is true: trying again must be harmless."""
        self.given_up_at = self.now
        c = self.cfg.classes[job.cls]
        guarded_by_all = (
            c.idempotency == Idempotency.KEYED and c.deduplication_scope == DeduplicationScope.ALL
        )
        if not (job.ran or job.open) or c.idempotency == Idempotency.IDEMPOTENT or guarded_by_all:
            advice = min(c.latency_objective_ms, self.cfg.max_retry_after_ms) if self.cfg.retry_after else 0.0
            self.out.append(Reject(job.id, advice))
        else:
            self.out.append(Fail(job.id))
        self._finish(job)

    def _hedge(self, request_id: int) -> None:
        """A second copy where the settings allow: the first sits on a paused or slowed server."""
        job = self.jobs.get(request_id)
        if job is None or job.finished or job.open != 1 or not self._may_send(job):
            return
        if self.now + 0.3 * self.usual[job.group] <= job.aim and (s := self._pick(job)) is not None:
            self._send(job, s)

    def _on_request(self, event: Request) -> None:
        cls = event.cls = event.cls if event.cls < len(self.cfg.classes) else 0
        group = cls
        if self.hinted:
            hint = event.cost_hint_ms
            if 0.0 < hint < inf:
                self.mean_hint += (hint - self.mean_hint) * (0.02 if self.mean_hint else 1.0)
                group = 1 if hint > 1.5 * self.mean_hint else 0
        self.mix[group] += 1.0
        self.arrived_now += self.usual[group] / self.mean_usual
        self.retry_tokens = min(self.retry_tokens + RETRY_EARN, RETRY_BANK)
        if self.cfg.retry_budget_window_ms > 0.0:
            self.taken_at.append(self.now)
        aim = self._aim_left(cls, event.time_left_ms)
        hold = min(max(aim - HOLD_MARGIN * self.usual[group], HOLD_LEAST * aim), HOLD_MOST * aim)
        job = RequestState(event, group, self.now, aim, hold, self.cfg.clock_step_ms)
        self.jobs[event.id] = job
        if self.cfg.tenants:
            job.rank = int(self._over_share(event.tenant))
        if self._overdue(job):
            return
        if self.cfg.classes[cls].ordered_by_key and event.key:
            self._queue_by_key(job, event.key)
        else:
            self._place(job)
        if self.waiting:
            self._pump()

    def _aim_left(self, cls: int, time_left: float) -> float:
        """A client's later try has less time left: a retry storm must not be served too late."""
        c = self.cfg.classes[cls]
        self.first_try[cls] = longest = max(self.first_try[cls], min(time_left, c.deadline_ms))
        first = time_left > 0.95 * longest - 3 * self.cfg.clock_step_ms
        # Calm traffic, no later tries in it, shows whether clients differ: then short times tell nothing.
        if self.now - self.given_up_at > c.deadline_ms:
            self.alike[cls] += (first - self.alike[cls]) * 0.01
        return (
            c.latency_objective_ms
            if first or self.alike[cls] < 0.8
            else c.latency_objective_ms + time_left - c.deadline_ms
        )

    def _over_share(self, tenant: int) -> bool:
        """Whether a tenant asks for more than its share: waits behind all others, is throttled first."""
        tenants = self.cfg.tenants
        if tenant >= len(tenants):
            return False
        self.tenant_rate[tenant] += 1000.0 / MIX_MEMORY
        quota = tenants[tenant].quota_rps / self.cfg.instance_count
        return 0.0 < quota < self.tenant_rate[tenant]

    def _place(self, job: RequestState) -> None:
        s = None if self.waiting else self._pick(job)  # those held before come first
        if s is not None:
            self._send(job, s)
        else:
            self._hold(job)

    def _hold(self, job: RequestState) -> None:
        self.seq += 1
        heappush(self.waiting, (job.rank, -self.cfg.classes[job.cls].priority_weight, -self.seq, job))
        self._tick()

    def _queue_by_key(self, job: RequestState, key: int) -> None:
        """One that its key cannot serve in time is refused at once: else all of a popular key is late."""
        line = self.lines.setdefault(key, Line())
        ahead = len(line)
        if ahead >= KEY_LINE or ahead and self.now + (ahead + 1) * self.usual[job.group] > job.aim:
            return self._give_up(job)
        line.append(job)
        job.line, job.in_line = line, True
        self._turn(job)

    def _turn(self, job: RequestState) -> None:
        """Places the first of its key's line once the key has rested; else looks again in time."""
        if job.finished or not job.in_line or self._overdue(job):
            return
        first = job.line[0] is job
        if first and self.now >= job.line.rest_until:
            job.in_line = False
            return self._place(job)
        again = min(job.end, job.line.rest_until if first else inf)
        again = min(again, job.hold_until if self.now <= job.hold_until else inf)
        self.out.append(SetTimer(job.id << 3 | T_TURN, max(again - self.now, 0.0) + 0.01))

    def _forget(self, job: RequestState) -> None:
        """Over, and no attempt is without its outcome: only now may the next of its key go."""
        if self.jobs.pop(job.id, None) is not None and job.line is not None:
            job.line.remove(job)
            if job.line:
                self._turn(job.line[0])

    def _tick(self) -> None:
        if self.waiting and not self.ticking:
            self.ticking = True
            self.out.append(SetTimer(T_TICK, TICK))

    def _pump(self, sweep: bool = False) -> None:
        """Places held requests by share, then worth, then the youngest: in an overload the oldest first would
        make all late. A sweep looks at all: none outstays its deadline."""
        kept = []
        while self.waiting and (sweep or len(kept) < PUMP_TRIES):
            entry = heappop(self.waiting)
            job = entry[3]
            if job.finished or self._overdue(job):
                continue
            if job.rank != entry[0]:
                self._hold(job)
                continue
            s = self._pick(job) if len(kept) < PUMP_TRIES else None
            if s is None:
                kept.append(entry)
            else:
                self._send(job, s)
        for entry in kept:
            heappush(self.waiting, entry)

    def _overdue(self, job: RequestState) -> bool:
        """Gives up, or sets back, what was held too long to be in time."""
        late = self.now > job.hold_until
        if self.now >= job.end or late and self.cfg.classes[job.cls].late_priority_weight <= 0.0:
            self._give_up(job)
        elif late:
            job.rank = 2
        return job.finished

    def _on_timer(self, event: TimerFired) -> None:
        kind = event.token & 7
        if kind == T_HEDGE:
            self._hedge(event.token >> 3)
        elif kind == T_TURN:
            if (job := self.jobs.get(event.token >> 3)) is not None:
                self._turn(job)
        elif kind == T_TICK:
            self.ticking = False
            self._pump(sweep=True)
            self._tick()
        elif kind == T_WATCH:
            self.out.append(Watch())
        elif kind == T_PEERS:
            told = self.ready if self.telling else []  # also what was lost, and who uses what
            for i in range(0, len(told), PEER_ENTRIES):
                self.out.append(SendToPeer(b"".join(map(_told, told[i : i + PEER_ENTRIES]))))
            self.out.append(SetTimer(T_PEERS, PEER_SILENCE / 3))

    def _on_gone(self, event: ClientDisconnected) -> None:
        if event.id in self.jobs:
            self._finish(self.jobs[event.id])

    def _tell(
        self, s: EndpointState
    ) -> None:  # to those known to use it; all would be a storm in a large fleet
        self.out.extend([SendToPeer(_told(s), peer) for peer in s.peers])

    def _on_peer(self, event: PeerMessage) -> None:
        data, sender = event.data, event.sender
        if not data or len(data) % 7 or sender >= self.cfg.instance_count:
            return
        self.peer_heard[sender] = self.now
        for i in range(0, len(data), 7):
            s = self.servers.get(data[i : i + 6])
            if s is not None:
                s.peer_sum += data[i + 6] - s.peers.get(sender, 0)
                s.peers[sender] = data[i + 6]
        if self.waiting:
            self._pump()

    def _forget_silent_peers(self) -> None:  # what died or is cut off holds nothing for ever
        for peer in [p for p, heard in self.peer_heard.items() if self.now - heard > PEER_SILENCE]:
            del self.peer_heard[peer]
            for s in self.servers.values():
                s.peer_sum -= s.peers.pop(peer, 0)

    def _on_stream(self, event: ResponseStarted) -> None:
        if event.id in self.jobs:
            self.jobs[event.id].deadline = inf

    _HANDLERS = {
        Request: _on_request,
        Outcome: _on_outcome,
        TimerFired: _on_timer,
        PeerMessage: _on_peer,
        EndpointListUpdate: _on_list,
        ClientDisconnected: _on_gone,
        HealthChecked: lambda self, event: (
            None
        ),  # no probes are sent: in-flight time tells as much, for nothing
        ResponseStarted: _on_stream,
    }
