"""The rotation, the four rules, and the answers to single failures: concrete events, concrete actions."""

from __future__ import annotations

from collections import Counter

import pytest
from conftest import IDEMPOTENT, UNSAFE, Driver, finals, sends, sid

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
    AttemptStatus,
    Availability,
    ClientDisconnected,
    EndpointEntry,
    HealthChecked,
    PeerMessage,
    UpdateMode,
)
from alderspool.balancer.settings import DeduplicationScope, Idempotency, RequestClass, Tenant
from alderspool.balancer.timers import TimerKind, timer_token

S = AttemptStatus
QUEUE_TIMER = timer_token(TimerKind.QUEUE)
LOAD_REPORT_TIMER = timer_token(TimerKind.LOAD_REPORT)


# ---- rotation ----------------------------------------------------------------------------------


def test_equal_servers_take_even_interleaved_turns() -> None:
    d = Driver()
    d.servers(4)
    used = d.serve(40)
    assert Counter(used) == {sid(i): 10 for i in range(4)}
    assert all(len(set(used[i : i + 4])) == 4 for i in range(0, 40, 4))


def test_the_papers_weights_of_table_3() -> None:
    """Shares of 1/3 and 2/3 over P = 38/11/51 and 13/40/47 give W = 21/30/49, spread without runs."""
    d = Driver([IDEMPOTENT, IDEMPOTENT])
    d.servers(3)
    d.serve(3)
    d.lb.refresh.last_at = d.now + 1e9  # weights as given, not as learned
    share, cpu, disk = (1 / 3, 2 / 3), (38, 11, 51), (13, 40, 47)
    weights = [share[0] * c + share[1] * p for c, p in zip(cpu, disk, strict=True)]
    assert [round(w) for w in weights] == [21, 30, 48]
    for i, weight in enumerate(weights):
        d.endpoints[sid(i)].weight = weight
    used = d.serve(300)
    counts = Counter(used)
    assert [round(counts[sid(i)] / 3) for i in range(3)] == [21, 30, 48]
    assert not any(used[i] == used[i + 1] == used[i + 2] for i in range(298))


def test_siblings_do_not_all_start_at_the_same_server() -> None:
    first = Counter()
    for seed in range(60):
        d = Driver(seed=seed, instance_count=60)
        d.servers(3)
        first[d.serve(1)[0]] += 1
    assert all(10 <= first[sid(i)] <= 30 for i in range(3))


def test_faster_servers_earn_more_turns() -> None:
    d = Driver()
    d.servers(2)
    for _ in range(200):
        (send,) = sends(d.request())
        d.now += 10.0 if send.endpoint == sid(0) else 40.0
        d.outcome(send.id, 0, send.endpoint)
    counts = Counter(d.serve(50, took=10.0))
    assert counts[sid(0)] > 1.6 * counts[sid(1)] > 0


def test_a_server_holding_more_than_its_share_passes_its_turn() -> None:
    d = Driver()
    d.servers(3)
    used = [sends(d.request())[0] for _ in range(9)]
    assert Counter(s.endpoint for s in used) == {sid(i): 3 for i in range(3)}
    for send in used:  # servers 1 and 2 answer, server 0 keeps what it has
        if send.endpoint != sid(0):
            d.now += 1.0
            d.outcome(send.id, 0, send.endpoint)
    assert sid(0) not in {sends(d.request())[0].endpoint for _ in range(2)}


def test_a_fast_failing_server_attracts_nothing() -> None:
    d = Driver([UNSAFE])
    d.servers(4)
    counts: Counter[bytes] = Counter()
    for _ in range(200):
        (send,) = sends(d.request())
        counts[send.endpoint] += 1
        bad = send.endpoint == sid(0)
        d.now += 1.0 if bad else 20.0
        d.outcome(send.id, 0, send.endpoint, S.ERROR if bad else S.OK)
    assert counts[sid(0)] < 10


def test_a_thin_class_figure_leans_on_the_servers_overall_one() -> None:
    d = Driver([UNSAFE, UNSAFE])
    d.servers(2)
    for _ in range(100):
        d.serve(4, took=20.0)
    (send,) = sends(d.request(cls=1))
    d.now += 60.0  # one slow answer of a rare class is no verdict
    d.outcome(send.id, 0, send.endpoint)
    counts = Counter(d.serve(40, took=20.0))
    assert min(counts[sid(0)], counts[sid(1)]) >= 16


# ---- rule 1: one final answer, in time ------------------------------------------------------------


def test_no_ready_server_holds_then_refuses_in_time() -> None:
    d = Driver()
    d.list()
    assert not finals(d.request())
    end = d.now + IDEMPOTENT.deadline_ms
    while not finals(d.log) and d.now < end:
        d.now += 8.0
        d.timer(QUEUE_TIMER)
    assert finals(d.log) == [Reject(1, 0.0)]
    assert d.now < end - 2.0


def test_every_held_request_is_answered_wherever_it_stands() -> None:
    d = Driver([RequestClass("a", 200.0, 400.0, late_priority_weight=0.5)])
    d.list()
    for left in (400.0, 90.0, 300.0, 60.0, 200.0):
        d.request(left=left)
    answered: dict[int, float] = {}
    start = d.now
    while len(answered) < 5 and d.now < start + 500.0:
        d.now += 8.0
        answered.update({a.id: d.now - start for a in finals(d.timer(QUEUE_TIMER))})
    assert all(answered[i + 1] < left for i, left in enumerate((400.0, 90.0, 300.0, 60.0, 200.0)))


def test_the_time_out_at_the_deadline_is_answered_and_nothing_follows() -> None:
    d = Driver([UNSAFE])
    d.servers(2)
    (send,) = sends(d.request())
    d.now += 400.0
    assert d.outcome(send.id, 0, send.endpoint, S.TIMEOUT) == [Fail(send.id)]
    assert d.outcome(send.id, 0, send.endpoint, S.TIMEOUT) == []
    assert d.tell(ClientDisconnected(send.id)) == []
    assert d.lb.requests.pending == {}


# ---- rule 2: effects ---------------------------------------------------------------------------

NEVER = (S.REJECTED, S.CONNECT_FAILED, S.NEVER_SENT)
MAYBE = (S.ERROR, S.TIMEOUT, S.RESET, S.CANCELLED)


def _effect_case(
    idempotency: Idempotency, deduplication_scope: DeduplicationScope, status: S
) -> tuple[Driver, list[Action]]:
    c = RequestClass("c", 4000.0, 8000.0, idempotency, deduplication_scope, deduplication_window_ms=1000.0)
    d = Driver([c], max_attempts=3)
    d.list(*(EndpointEntry(sid(i), cell=i // 2, zone=i // 2) for i in range(6)))
    (send,) = sends(d.request())
    d.now += 20.0
    return d, d.outcome(send.id, 0, send.endpoint, status)


@pytest.mark.parametrize("status", NEVER)
@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_what_never_ran_may_go_anywhere(idempotency: Idempotency, status: S) -> None:
    _, actions = _effect_case(idempotency, DeduplicationScope.CELL, status)
    assert len(sends(actions)) == 1 and not finals(actions)


@pytest.mark.parametrize("status", MAYBE)
def test_unsafe_that_may_have_run_is_failed_not_refused(status: S) -> None:
    _, actions = _effect_case(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, status)
    assert not sends(actions) and finals(actions) == [Fail(1)]


@pytest.mark.parametrize("status", MAYBE)
@pytest.mark.parametrize("deduplication_scope", list(DeduplicationScope))
def test_guarded_that_may_have_run_stays_in_its_group(
    deduplication_scope: DeduplicationScope, status: S
) -> None:
    d, actions = _effect_case(Idempotency.KEYED, deduplication_scope, status)
    first, again = sends(d.log)[0], sends(actions)
    assert len(again) == 1
    if deduplication_scope != DeduplicationScope.ALL:
        assert again[0].endpoint[3] // 2 == first.endpoint[3] // 2
    d.now += 1000.0  # past the memory of the first send: no more attempts
    last = d.outcome(1, 1, again[0].endpoint, S.TIMEOUT)
    assert not sends(last)
    assert [type(a) for a in finals(last)] == [
        Reject if deduplication_scope == DeduplicationScope.ALL else Fail
    ]


def test_a_repeat_may_go_out_only_while_its_key_is_remembered() -> None:
    """Decided in time, it then waited for its connection. Of a first attempt nothing is remembered."""
    d, actions = _effect_case(Idempotency.KEYED, DeduplicationScope.CELL, S.RESET)
    assert len(sends(actions)) == 1
    assert d.lb.may_begin(d.now + 900.0, 1) and not d.lb.may_begin(d.now + 1000.0, 1)
    (first,) = sends(d.request())
    assert d.lb.may_begin(d.now + 1000.0, first.id) and not d.lb.may_begin(d.now, 99)


@pytest.mark.parametrize("status", MAYBE + NEVER)
def test_free_is_retried_until_the_attempts_are_used_up(status: S) -> None:
    d, actions = _effect_case(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, status)
    d.outcome(1, 1, sends(actions)[0].endpoint, status)
    third = sends(d.log)[2]
    assert d.outcome(1, 2, third.endpoint, status)[-1] == Reject(1, 0.0)


def test_no_second_copy_where_it_is_forbidden_and_one_where_allowed() -> None:
    for allowed in (False, True):
        d = Driver(hedging_allowed=allowed, cancel_allowed=True)
        d.servers(3)
        (send,) = sends(d.request())
        d.now += 90.0
        actions = d.timer(timer_token(TimerKind.HEDGE, send.id))
        assert len(sends(actions)) == int(allowed)
    copy = sends(actions)[0]
    assert copy.endpoint != send.endpoint
    assert d.outcome(1, 1, copy.endpoint) == [Cancel(1, 0)]


# ---- rule 3: drains ------------------------------------------------------------------------------


@pytest.mark.parametrize("how", [Availability.DRAINING, Availability.GONE])
def test_nothing_new_goes_to_a_server_that_drains_or_is_gone(how: Availability) -> None:
    d = Driver()
    d.servers(2)
    d.list(EndpointEntry(sid(0), availability=how), mode=UpdateMode.DELTA)
    assert set(d.serve(10)) == {sid(1)}


def test_a_server_missing_from_a_complete_list_is_gone() -> None:
    d = Driver()
    d.servers(3)
    d.list(EndpointEntry(sid(2)))
    assert set(d.serve(5)) == {sid(2)}
    d.now += 60_000.0
    d.list(EndpointEntry(sid(2)))
    assert list(d.endpoints) == [sid(2)]  # nothing is kept of servers long gone


def test_discovery_on_request_is_watched_and_asked_again_with_backoff() -> None:
    d = Driver(list_on_request=True)
    assert d.log == [Watch()]
    waits = []
    for _ in range(8):
        (timer,) = d.list(mode=UpdateMode.FAILED)
        waits.append(timer.delay_ms)
        d.now += timer.delay_ms
        assert d.timer(timer.token) == [Watch()]
    assert 500.0 <= waits[0] <= 1000.0
    assert (
        waits[0] < waits[2] and max(waits) <= 4000.0 < d.cfg.list_max_age_ms
    )  # a drain counts as told in 6 s


# ---- rule 4: cold servers ------------------------------------------------------------------------


def _cold_share(cold: int, warm: int, rate: float, seconds: float) -> Counter[bytes]:
    """What one instance sends to each server, `seconds` after `cold` of them have started."""
    d = Driver(
        initial_capacity_share=0.1,
        slow_start_ms=20000.0,
        cold_overload_window_ms=1000.0,
        cold_overload_factor=2.5,
    )
    d.servers(cold + warm)
    d.policies.limit.per_endpoint = 50.0
    d.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    d.now += 60000.0
    for _ in range(int(rate * 10)):
        d.serve(1, took=1000.0 / rate)
    d.list(*(EndpointEntry(sid(i), started_at_ms=d.now if i < cold else 0.0) for i in range(cold + warm)))
    counts: Counter[bytes] = Counter()
    for _ in range(int(rate * seconds)):
        for send in sends(d.request()):
            counts[send.endpoint] += 1
            d.outcome(send.id, 0, send.endpoint)
        d.now += 1000.0 / rate
    return counts


@pytest.mark.parametrize(("cold", "warm", "most"), [(1, 9, 5), (5, 5, 5), (9, 1, 25), (10, 0, 5)])
def test_cold_servers_stay_inside_their_budget(cold: int, warm: int, most: int) -> None:
    """Each usually carries 10 a second; at a tenth of its capacity it may be sent 2.5 a second at most. One
    that is left warm and is seen to do 90 a second shows that a cold one can do nine."""
    counts = _cold_share(cold, warm, rate=100.0, seconds=2.0)
    assert all(1 <= counts[sid(i)] <= most for i in range(cold))


def test_an_instance_that_just_started_keeps_the_budget() -> None:
    d = Driver(initial_capacity_share=0.1, slow_start_ms=20000.0, cold_overload_window_ms=1000.0)
    d.list(*(EndpointEntry(sid(i), started_at_ms=d.now - 100.0) for i in range(10)), mode=UpdateMode.CACHED)
    counts: Counter[bytes] = Counter()
    for _ in range(100):
        counts.update(s.endpoint for s in sends(d.request()))
        d.now += 10.0
    assert max(counts.values(), default=0) <= 3


def test_a_server_back_from_refused_connections_counts_as_cold() -> None:
    d = Driver(initial_capacity_share=0.1, slow_start_ms=20000.0)
    d.servers(2)
    s = d.endpoints[sid(0)]
    for down in (True, False):
        for _ in range(1000):
            for send in sends(d.request()):
                d.now += 10.0
                bad = down and send.endpoint == sid(0)
                for again in sends(d.outcome(send.id, 0, send.endpoint, S.CONNECT_FAILED if bad else S.OK)):
                    d.outcome(again.id, 1, again.endpoint)
        assert s.is_process_lost == down
    assert 0.1 <= d.policies.slow_start.warm_up_factor(s, d.lb.requests.now) < 1.0


# ---- health ----------------------------------------------------------------------------------------


def test_attempts_lost_in_one_pause_are_one_failure() -> None:
    d = Driver([UNSAFE])
    d.servers(1)
    d.policies.limit.per_endpoint = 10.0
    d.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    d.serve(3)
    lost = [sends(d.request())[0] for _ in range(5)]
    d.now += 400.0
    for send in lost:
        d.outcome(send.id, 0, send.endpoint, S.TIMEOUT)
    assert d.endpoints[sid(0)].consecutive_failures == 1


def test_a_time_out_of_an_attempt_sent_too_late_says_nothing_of_the_server() -> None:
    d = Driver([UNSAFE])
    d.servers(1)
    (send,) = sends(d.request())
    d.now += 60.0
    d.outcome(send.id, 0, send.endpoint, S.TIMEOUT)
    assert d.endpoints[sid(0)].consecutive_failures == 0


def _fail(d: Driver, bad: set[bytes], rounds: int) -> None:
    for _ in range(rounds):
        for send in sends(d.request()):
            d.now += 30.0
            d.outcome(send.id, 0, send.endpoint, S.ERROR if send.endpoint in bad else S.OK)


def test_a_failing_server_is_ejected_and_comes_back_after_a_good_trial() -> None:
    d = Driver([UNSAFE])
    d.servers(4)
    _fail(d, {sid(0)}, 150)
    assert any(isinstance(a, Log) and a.text.startswith("eject 0a0000") for a in d.log)
    d.now += 200.0
    assert sid(0) not in d.serve(5)
    d.now += 10000.0
    assert sid(0) in d.serve(200)
    assert d.endpoints[sid(0)].consecutive_failures == 0


def test_when_most_servers_look_bad_the_judgement_is_doubted() -> None:
    d = Driver([UNSAFE])
    d.servers(4)
    _fail(d, {sid(i) for i in range(4)}, 60)
    d.now += 60.0  # a usual latency, not the seconds that a single bad server is left alone
    assert sends(d.request())


def test_a_time_out_shuts_a_kind_only_where_others_were_answered_meanwhile() -> None:
    for others in (0, 1):
        d = Driver([IDEMPOTENT, IDEMPOTENT], tenants=[Tenant("a")])
        d.servers(1)
        (s,) = d.endpoints.values()
        sends(d.request(0))
        for _ in range(others):
            (send,) = sends(d.request(1))
            d.outcome(send.id, 0, send.endpoint)
        d.now += 400.0
        d.outcome(1, 0, s.id, S.TIMEOUT, finished=True)
        assert bool(s.circuits) == bool(others)


def test_a_silent_server_passes_its_turn_long_before_a_time_out() -> None:
    d = Driver([UNSAFE])
    d.servers(3)
    d.serve(60)
    while (stuck := sends(d.request())[0]).endpoint != sid(0):
        d.outcome(stuck.id, 0, stuck.endpoint)
    d.now += 100.0
    assert sid(0) not in d.serve(30)
    d.outcome(stuck.id, 0, sid(0))
    assert sid(0) in d.serve(30)


class Jam:
    """Keeps more requests coming than may be out; each that is out is answered after `took` ms."""

    def __init__(self, d: Driver) -> None:
        self.d, self.out = d, list[tuple[float, Send]]()

    def run(self, took: float, seconds: float) -> list[Send]:
        d, start = self.d, len(self.d.log)
        for _ in range(int(seconds * 100)):
            actions = []
            while self.out and self.out[0][0] <= d.now:
                (_, send) = self.out.pop(0)
                actions += d.outcome(send.id, 0, send.endpoint)
            for _ in range(4):
                actions += d.request()
            actions += d.timer(QUEUE_TIMER)
            self.out += [(d.now + took, send) for send in sends(actions)]
            self.out.sort(key=lambda entry: entry[0])
            d.now += 10.0
        return sends(d.log[start:])


@pytest.fixture
def jam() -> Jam:
    d = Driver([UNSAFE], instance_count=2)
    d.servers(4)
    return Jam(d)


def test_the_limit_falls_while_answers_are_slow_and_comes_back_once_they_are_not(jam: Jam) -> None:
    jam.run(5.0, 3)
    healthy = jam.d.policies.limit.per_endpoint
    jam.run(150.0, 2)  # in time for the aim of 200, but with nothing to spare
    jammed = jam.d.policies.limit.per_endpoint
    assert jammed < 0.25 * healthy
    jam.run(5.0, 3)
    assert jam.d.policies.limit.per_endpoint > 2.0 * jammed


def test_however_bad_the_past_attempts_go_on_while_a_server_is_ready(jam: Jam) -> None:
    for _ in range(30):  # jammed, resting, and slow by nature
        assert len(jam.run(350.0, 1)) >= 2


def test_servers_slow_without_load_rest_but_for_one_and_then_that_one_rests(jam: Jam) -> None:
    d = jam.d
    jam.run(150.0, 5)
    assert d.policies.limit.counts_late_only and d.policies.limit.quiesce_until > d.now + 1000.0
    told = [a.text for a in d.log if isinstance(a, Log)]
    assert len(told) == 1 and told[0].startswith("quiesce: ")
    active = d.policies.limit.active_endpoint
    assert {s.endpoint for s in jam.run(150.0, 1)} == {active.id}
    while d.now < d.policies.limit.quiesce_until + 200.0:
        jam.run(150.0, 0.1)
    assert {s.endpoint for s in jam.run(5.0, 3)} == {sid(i) for i in range(4)} - {active.id}
    assert not d.policies.limit.counts_late_only  # it was the load: slow counts again
    jam.run(5.0, 3)
    assert active.id in {s.endpoint for s in jam.run(5.0, 1)}


def test_the_rest_ends_at_once_when_the_one_that_goes_on_is_quick_again(jam: Jam) -> None:
    jam.run(150.0, 5)
    assert jam.d.policies.limit.quiesce_until > jam.d.now + 1000.0
    jam.run(5.0, 0.5)
    assert jam.d.policies.limit.quiesce_until < jam.d.now and not jam.d.policies.limit.counts_late_only
    assert {s.endpoint for s in jam.run(5.0, 0.5)} == {sid(i) for i in range(4)}


def test_a_silent_server_is_not_the_one_that_goes_on_while_the_others_rest(jam: Jam) -> None:
    d = jam.d
    jam.run(150.0, 5)
    first = d.policies.limit.active_endpoint
    jam.out = [(d.now + 1e9 if s.endpoint == first.id else at, s) for at, s in jam.out]  # never answered
    jam.run(150.0, 1)
    assert d.policies.limit.active_endpoint is not first
    assert len(jam.run(150.0, 1)) >= 5


def test_servers_slow_by_nature_rest_once_and_are_used_again(jam: Jam) -> None:
    jam.run(150.0, 20)
    assert jam.d.policies.limit.counts_late_only and jam.d.policies.limit.quiesce_until < jam.d.now
    assert len([a for a in jam.d.log if isinstance(a, Log)]) == 1
    assert len(jam.run(150.0, 3)) > 100  # four servers at 150 ms


def test_what_a_silent_server_holds_takes_no_place_from_the_others() -> None:
    d = Driver([UNSAFE], instance_count=2)
    d.servers(3)
    d.serve(60)
    d.policies.limit.per_endpoint = 2.0
    stuck = 0
    while stuck < 2:
        (send,) = sends(d.request())
        if send.endpoint == sid(0):
            stuck += 1
        else:
            d.outcome(send.id, 0, send.endpoint)
    d.now += 150.0  # silent for longer than a usual latency, by far
    d.refresh()
    taken = [s.endpoint for _ in range(6) for s in sends(d.request())]
    assert sorted(taken) == sorted([sid(1), sid(2)] * 2)


def test_what_is_not_limited_does_not_raise_the_limit() -> None:
    d = Driver([UNSAFE], instance_count=2)
    d.servers(4)
    before = d.policies.limit.per_endpoint
    d.serve(1000)
    assert d.policies.limit.per_endpoint == before


def test_held_requests_go_by_share_then_worth_then_the_youngest_first() -> None:
    cheap, dear = (
        RequestClass("cheap", 800.0, 2000.0),
        RequestClass("dear", 800.0, 2000.0, priority_weight=5.0),
    )
    tenants = [Tenant("a", quota_rps=1000.0), Tenant("b", quota_rps=0.001)]
    d = Driver([cheap, dear], tenants=tenants, instance_count=2)
    d.servers(1)
    d.policies.limit.total = 1.0
    d.lb.refresh.last_at = 1e12  # the limit stays
    (out,) = sends(d.request(0))
    for cls, tenant in ((1, 1), (0, 1), (0, 0), (1, 0), (1, 0), (0, 0)):  # requests 2 to 7
        assert not sends(d.request(cls, tenant=tenant))
    order = []
    for _ in range(6):
        (out,) = sends(d.outcome(out.id, 0, out.endpoint))
        order.append(out.id)
    assert order == [6, 5, 7, 4, 2, 3]


def test_what_can_no_longer_be_in_time_is_refused_not_sent() -> None:
    d = Driver([UNSAFE], instance_count=2)
    d.servers(1)
    d.serve(200, took=100.0)  # usual: half of the aim
    d.policies.limit.total = 1.0
    d.lb.refresh.last_at = 1e12
    sends(d.request())
    d.request()
    held = d.next_id
    d.now += 60.0  # of the aim of 200: what remains is less than it takes, with the usual spread
    assert [a.id for a in finals(d.timer(QUEUE_TIMER))] == [held]


def test_fresh_requests_go_before_late_ones() -> None:
    d = Driver([RequestClass("a", 100.0, 1000.0, late_priority_weight=0.5)])
    d.servers(1)
    d.policies.limit.per_endpoint = 1.0
    d.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    d.now += 1000.0
    (busy,) = sends(d.request())
    d.request()
    d.now += 80.0
    d.timer(QUEUE_TIMER)
    d.request()
    (send,) = sends(d.outcome(busy.id, 0, busy.endpoint))
    assert send.id == 3


def test_a_later_try_whose_aim_has_passed_is_refused_at_once() -> None:
    d = Driver([RequestClass("a", 100.0, 400.0)])
    d.servers(2)
    for _ in range(400):
        (send,) = sends(d.request(left=250.0))
        d.now += 5.0
        d.outcome(send.id, 0, send.endpoint)
    assert finals(d.request(left=150.0)) and not sends(d.log[-1:])
    assert sends(d.request(left=248.0))


def test_over_share_tenants_wait_behind_the_others() -> None:
    d = Driver(tenants=[Tenant("a", 0.5, 1.0), Tenant("b", 0.5, 1000.0)])
    d.servers(1)
    d.policies.limit.per_endpoint = 1.0
    d.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    d.now += 1000.0
    for _ in range(40):
        for send in sends(d.request(tenant=0)):
            d.now += 5.0
            d.outcome(send.id, 0, send.endpoint)
    (busy,) = sends(d.request(tenant=1))
    d.request(tenant=0)
    d.request(tenant=1)
    (send,) = sends(d.outcome(busy.id, 0, busy.endpoint))
    assert send.id == d.next_id


# ---- peers ---------------------------------------------------------------------------------------------


def test_peers_in_flight_counts_and_lapses_when_the_peer_falls_silent() -> None:
    d = Driver(peer_messages_allowed=True, instance_count=3)
    d.servers(2)
    d.policies.limit.per_endpoint = 2.0
    d.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    d.now += 1000.0
    d.tell(PeerMessage(1, sid(0) + bytes((9,))))
    d.tell(PeerMessage(2, sid(0) + bytes((0,))))
    d.now += 500.0
    assert {sends(d.request())[0].endpoint for _ in range(2)} == {sid(1)}
    d.now += 5000.0
    d.request()
    assert d.endpoints[sid(0)].peer_in_flight == 0


def test_an_instance_keeps_its_own_share_of_the_limit() -> None:
    d = Driver(peer_messages_allowed=True, instance_count=2)
    d.servers(1)
    d.policies.limit.per_endpoint = 4.0
    d.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    d.now += 1000.0
    d.tell(PeerMessage(1, sid(0) + bytes((9,))))
    d.now += 500.0
    assert [len(sends(d.request())) for _ in range(3)] == [1, 1, 0]


# ---- odd but legal ----------------------------------------------------------------------------------------


def test_odd_events_have_defined_answers() -> None:
    d = Driver(peer_messages_allowed=True, instance_count=2)
    assert d.outcome(99, 0, sid(0)) == []
    assert d.tell(ClientDisconnected(99)) == []
    assert d.timer(timer_token(TimerKind.HEDGE, 12345)) == []
    assert d.tell(PeerMessage(7, b"?")) == []
    assert d.tell(HealthChecked(sid(9), S.TIMEOUT, 1.0, (float("nan"),))) == []
    assert d.list(EndpointEntry(sid(5), availability=Availability.DRAINING), mode=UpdateMode.DELTA) == []
    assert d.endpoints == {}
    d.list(
        EndpointEntry(sid(0), weight=0.0),
        EndpointEntry(sid(1), weight=float("nan"), started_at_ms=d.now + 1e6),
    )
    assert finals(d.request(left=0.0)) == [Reject(1, 0.0)]
    assert finals(d.request(left=-5.0)) == [Reject(2, 0.0)]
    assert sends(d.request(cls=0))


def test_the_same_events_give_the_same_actions() -> None:
    def run() -> list[Action]:
        d = Driver(seed=7, list_on_request=True)
        d.list(mode=UpdateMode.FAILED)
        d.servers(5)
        d.serve(50)
        return d.log

    assert run() == run()


# ---- many instances on many servers -----------------------------------------------------------------------


def fleet(number: int, instance_count: int, servers: int, **settings: object) -> Driver:
    d = Driver(instance_number=number, instance_count=instance_count, **settings)
    d.list(*(EndpointEntry(bytes((10, i * 7 % 256, 0, i, 31, 144)), zone=i % 2) for i in range(servers)))
    return d


def test_windows_of_many_instances_cover_all_servers_alike() -> None:
    used = Counter(s.id for k in range(200) for s in fleet(k, 200, 100).selected)
    assert len(used) == 100
    assert set(used.values()) <= set(range(10, 15))  # 200 x 6 / 100 = 12 instances a server


def test_few_instances_use_every_server_between_them() -> None:
    assert len(fleet(0, 1, 100).selected) == 100
    assert len({s.id for k in range(20) for s in fleet(k, 20, 100).selected}) == 100


def test_failing_servers_do_not_fill_the_window() -> None:
    d = fleet(0, 200, 100)
    before = {s.id for s in d.selected}
    for s in d.selected[:5]:
        s.consecutive_failures = 5
    d.now += 1000.0
    d.request()
    after = {s.id for s in d.selected}
    assert before < after and len(after) == len(before) + 5


def test_a_server_that_returns_finds_its_place_in_the_window() -> None:
    d = fleet(3, 200, 100)
    before = [s.id for s in d.selected]
    lost = [EndpointEntry(i, zone=d.endpoints[i].zone, availability=Availability.GONE) for i in before[:2]]
    d.list(*lost, mode=UpdateMode.DELTA)
    assert len(d.selected) == 6 and set(before[2:]) < {s.id for s in d.selected}
    d.now += 5000.0
    d.list(*(EndpointEntry(i, zone=d.endpoints[i].zone) for i in before[:2]), mode=UpdateMode.DELTA)
    assert [s.id for s in d.selected] == before


def test_peers_are_told_only_of_servers_that_they_share() -> None:
    d = Driver(peer_messages_allowed=True, instance_count=7)
    d.servers(2)
    d.tell(PeerMessage(6, sid(0) + bytes((0,))))
    told = [(a.peer, a.data[:6]) for _ in range(2) for a in d.request() if isinstance(a, SendToPeer)]
    assert told == [(6, sid(0))]
    hello = [a for a in d.timer(LOAD_REPORT_TIMER) if isinstance(a, SendToPeer)]
    assert [(a.peer, a.data) for a in hello] == [(None, sid(0) + b"\1" + sid(1) + b"\1")]


def test_weights_are_rebuilt_less_often_where_few_requests_come() -> None:
    d = Driver()
    d.servers(2)
    d.serve(1)
    at = d.lb.refresh.last_at
    d.now += 200.0
    d.serve(1)
    assert d.lb.refresh.last_at == at
    d.now += 300.0
    d.serve(1)
    assert d.lb.refresh.last_at == d.now - 5.0


def test_the_first_mix_takes_classes_to_ask_for_equal_work() -> None:
    d = Driver([RequestClass("short", 100.0, 200.0), RequestClass("long", 1500.0, 3000.0)])
    d.servers(10)
    d.now += 200.0
    for _ in range(5):
        d.request()
    d.now += 200.0
    d.request()
    assert 3 <= sum(s.serves_long_work for s in d.selected) <= 7  # not nine of ten


def test_the_cold_budget_follows_what_warm_servers_are_seen_to_do() -> None:
    d = Driver([UNSAFE], initial_capacity_share=0.2, slow_start_ms=20_000.0)
    d.servers(1)
    d.serve(400)  # one warm server carries all of it
    cold = [EndpointEntry(sid(i), started_at_ms=d.now) for i in range(1, 10)]
    d.list(*cold, mode=UpdateMode.DELTA)
    server = d.endpoints[sid(1)]
    usual_load = 1.2 * 0.2 * d.policies.latency.arrivals.rate / 10  # as if all ten shared it already
    assert server.cold_rate > 3 * usual_load
    assert server.cold_rate <= 1.2 * 0.21 * d.policies.slow_start.work_rate_per_size


def test_long_work_never_leaves_its_part() -> None:
    short = RequestClass("short", 100.0, 200.0, idempotency=Idempotency.NON_IDEMPOTENT)
    d = Driver([short, RequestClass("long", 1500.0, 3000.0, idempotency=Idempotency.NON_IDEMPOTENT)])
    d.servers(4)
    d.lb.refresh.last_at = d.now + 1e9  # parts as they stand
    part = {s.id for s in d.selected if s.serves_long_work}
    assert 0 < len(part) < 4
    for s in d.selected:
        s.limit = s.own_limit = 1
    for _ in range(4):
        d.request(1)
        d.request(0)
    for s in d.selected:  # room again, but not in the part of the long
        s.limit = s.own_limit = 0 if s.id in part else 9
    d.now += 40.0  # short work has waited long enough for its part
    d.timer(QUEUE_TIMER)
    assert {entry.request.class_index for entry in d.policies.queue.waiting.entries} == {1}
    d.now += 360.0  # nor may long work go elsewhere after a fifth of its aim
    for send in sends(d.log):
        if send.endpoint not in part:  # idle and well
            d.outcome(send.id, 0, send.endpoint)
    assert not {send.endpoint for send in sends(d.timer(QUEUE_TIMER))} - part
    assert {entry.request.class_index for entry in d.policies.queue.waiting.entries} == {1}


def test_where_many_share_a_server_peers_are_not_told() -> None:
    d = Driver(peer_messages_allowed=True, instance_count=50)
    d.servers(2)
    d.tell(PeerMessage(6, sid(0) + bytes((0,))))
    d.serve(3)
    d.timer(LOAD_REPORT_TIMER)
    assert not [a for a in d.log if isinstance(a, SendToPeer)]


# ---- order by key ----------------------------------------------------------------------------------------


def ordered(**settings: object) -> Driver:
    classes = [
        RequestClass(
            "a", 400.0, 1500.0, Idempotency.NON_IDEMPOTENT, late_priority_weight=0.2, ordered_by_key=True
        ),
        RequestClass(
            "b", 400.0, 1500.0, Idempotency.NON_IDEMPOTENT, late_priority_weight=0.2, ordered_by_key=True
        ),
        RequestClass("c", 400.0, 1500.0),
    ]
    d = Driver(classes, key_quiesce_ms=50.0, **settings)
    d.servers(4)
    return d


def turn(d: Driver, rid: int) -> list[Action]:
    return d.timer(timer_token(TimerKind.KEY_TURN, rid))


def test_requests_of_a_key_run_one_at_a_time_as_taken_over_all_ordered_classes() -> None:
    d = ordered()
    (first,) = sends(d.request(0, key=7))
    assert not sends(d.request(1, key=7)) and not sends(d.request(0, key=7))
    assert [len(sends(d.request(c, key=k))) for c, k in ((0, 8), (0, 0), (2, 7))] == [1, 1, 1]
    (second,) = sends(d.outcome(first.id, 0, first.endpoint))
    assert second.id == 2
    assert not sends(d.outcome(first.id, 0, first.endpoint))  # told twice: frees nothing
    (third,) = sends(d.outcome(second.id, 0, second.endpoint, S.CONNECT_FAILED))
    assert third.id == 2  # another try of the one whose turn it is


@pytest.mark.parametrize("status", [S.TIMEOUT, S.RESET, S.CANCELLED])
def test_a_key_rests_after_an_attempt_that_may_be_running_on(status: AttemptStatus) -> None:
    d = ordered()
    (first,) = sends(d.request(0, key=7))
    d.request(0, key=7)
    actions = d.outcome(first.id, 0, first.endpoint, status)
    assert finals(actions) == [Fail(1)] and not sends(actions)
    d.now += 49.0
    assert not sends(turn(d, 2))
    d.now += 1.1
    assert [s.id for s in sends(turn(d, 2))] == [2]
    assert not sends(turn(d, 2))  # once


def test_a_rest_outlives_an_empty_line_but_not_for_ever() -> None:
    d = ordered()
    (first,) = sends(d.request(0, key=7))
    d.outcome(first.id, 0, first.endpoint, S.RESET)
    d.now += 20.0
    d.refresh()
    assert not sends(d.request(0, key=7))
    d.now += 31.0
    (second,) = sends(turn(d, 2))
    d.outcome(second.id, 0, second.endpoint)
    d.now += 600.0
    d.request(2)
    assert d.policies.queue.key_queues.by_key == {}


def test_an_answered_or_abandoned_request_blocks_its_key_until_its_attempt_is_told() -> None:
    d = ordered()
    (first,) = sends(d.request(0, key=7))
    d.tell(ClientDisconnected(1))
    assert not sends(d.request(0, key=7))
    assert [s.id for s in sends(d.outcome(first.id, 0, first.endpoint))] == [2]


def test_who_waits_for_its_key_is_answered_in_time_and_frees_the_next() -> None:
    d = ordered()
    (first,) = sends(d.request(0, key=7))
    d.policies.queue.alike_share = [0.0] * 3  # clients differ: less time tells of no earlier try
    d.request(0, key=7, left=300.0)
    d.request(0, key=7)
    d.now += 291.0
    assert finals(turn(d, 2)) == [Reject(2, 0.0)]
    assert [s.id for s in sends(d.outcome(first.id, 0, first.endpoint))] == [3]


def test_a_queue_that_its_key_cannot_serve_in_time_is_refused_at_once_with_advice() -> None:
    d = ordered(retry_after=True)
    d.policies.latency.typical_ms[:] = [150.0] * 3
    d.request(0, key=7)
    assert not finals(d.request(0, key=7))
    assert finals(d.request(0, key=7)) == [Reject(3, 400.0)]


# ---- attempts budget, 'full' as no proof -----------------------------------------------------------------


def test_the_attempts_budget_counts_every_further_attempt_over_its_window() -> None:
    d = Driver(
        [UNSAFE],
        retry_budget_window_ms=5000.0,
        retry_budget_floor=1.0,
        retry_budget_ratio=0.25,
        max_attempts=9,
    )
    d.servers(4)
    (s,) = sends(d.request())
    for attempt in range(2):  # 1 + 0.25 x 1: one further attempt, whatever ended the one before
        actions = d.outcome(1, attempt, s.endpoint, [S.REJECTED, S.CONNECT_FAILED][attempt])
        assert len(sends(actions)) == 1 - attempt
        s = sends(actions)[0] if sends(actions) else s
    assert finals(actions) == [Reject(1, 0.0)]  # at once
    for _ in range(2):
        (s,) = sends(d.request())
        d.now += 1.0
        d.outcome(s.id, 0, s.endpoint)
    (s,) = sends(d.request())  # the fourth: 1 + 0.25 x 4 = 2
    (s,) = sends(d.outcome(s.id, 0, s.endpoint, S.CONNECT_FAILED))
    assert finals(d.outcome(s.id, 1, s.endpoint, S.CONNECT_FAILED))
    d.now += 5010.0  # the window has passed, for requests too
    (s,) = sends(d.request())
    (s,) = sends(d.outcome(s.id, 0, s.endpoint, S.CONNECT_FAILED))
    assert finals(d.outcome(s.id, 1, s.endpoint, S.CONNECT_FAILED))


def test_second_copies_come_out_of_the_attempts_budget() -> None:
    d = Driver(
        retry_budget_window_ms=5000.0,
        retry_budget_floor=1.0,
        retry_budget_ratio=0.0,
        hedging_allowed=True,
        cancel_allowed=True,
    )
    d.servers(4)
    d.request()
    d.request()
    d.now += 90.0
    assert len(sends(d.timer(timer_token(TimerKind.HEDGE, 1)))) == 1
    assert not sends(d.timer(timer_token(TimerKind.HEDGE, 2)))


@pytest.mark.parametrize("may_have_run", [False, True])
def test_full_proves_nothing_where_that_is_stated(may_have_run: bool) -> None:
    guarded = RequestClass(
        "g", 200.0, 400.0, Idempotency.KEYED, DeduplicationScope.CELL, deduplication_window_ms=4000.0
    )
    d = Driver([UNSAFE, guarded], rejected_may_have_run=may_have_run)
    d.list(*(EndpointEntry(sid(i), cell=i) for i in range(4)))
    (s,) = sends(d.request(0))
    actions = d.outcome(s.id, 0, s.endpoint, S.REJECTED)
    assert (finals(actions) == [Fail(1)]) == may_have_run and bool(sends(actions)) != may_have_run
    (s,) = sends(d.request(1))
    actions = d.outcome(s.id, 0, s.endpoint, S.REJECTED)
    assert bool(sends(actions)) != may_have_run  # no other server is in its cell


# ---- cold servers that many instances with little traffic meet ------------------------------------------


def test_where_sizes_are_live_an_empty_cold_server_does_not_look_the_biggest() -> None:
    d = Driver(weights_live=True)
    d.servers(3, weight=4.0)
    loaded = [EndpointEntry(sid(i), weight=1.0) for i in (0, 1)]
    d.list(*loaded, EndpointEntry(sid(2), weight=4.0, started_at_ms=d.now), mode=UpdateMode.DELTA)
    assert [s.size for s in d.endpoints.values()] == [4.0, 4.0, 4.0]


def test_an_unused_cold_token_lapses_and_instances_start_at_different_levels() -> None:
    levels = set()
    for seed in range(20):
        d = Driver(seed=seed, instance_count=200, cold_overload_factor=1.5, cold_overload_window_ms=1500.0)
        d.servers(3)
        d.list(EndpointEntry(sid(0), started_at_ms=d.now), mode=UpdateMode.DELTA)
        s = d.endpoints[sid(0)]
        levels.add(s.cold_tokens)
        assert 0.0 <= s.cold_tokens < 1.0
        d.policies.latency.arrivals.rate = 0.005
        for _ in range(40):
            d.now += 500.0
            d.refresh()
            d.policies.latency.arrivals.rate = 0.005
            if s.cold_rate < 1.0:
                assert s.cold_tokens <= 1.0 + s.cold_rate * 375.0 + 1e-9
    assert len(levels) == 20


# ---- a server that is bad for one kind of request --------------------------------------------------------


def _kinds(**settings: object) -> Driver:
    d = Driver([RequestClass(name, 200.0, 400.0) for name in "ab"], **settings)
    d.servers(2)
    return d


@pytest.mark.parametrize("status", [S.ERROR, S.REJECTED])
def test_a_server_that_fails_one_class_is_shut_for_that_class_only(status: AttemptStatus) -> None:
    d = _kinds()
    (send,) = sends(d.request(0))
    d.outcome(send.id, 0, send.endpoint, status)
    for send in sends(d.log)[1:]:
        d.outcome(send.id, 1, send.endpoint)
    bad = sends(d.log)[0].endpoint
    d.now += 100.0
    assert bad not in d.serve(10, cls=0) and bad in d.serve(10, cls=1)
    d.now += 3000.0
    assert bad in d.serve(10, cls=0)  # tried again


def test_a_tenant_is_shut_out_as_a_whole_only_once_two_of_its_classes_failed() -> None:
    d = _kinds(tenants=[Tenant("x"), Tenant("y")])
    s = d.endpoints[sid(0)]

    def fail(cls: int, tenant: int) -> None:
        s.blocked_until, s.last_failure_at = 0.0, -1.0
        for other in d.endpoints.values():
            other.blocked_until = 0.0 if other is s else d.now + 1.0
        (send,) = sends(d.request(cls, tenant=tenant))
        d.outcome(send.id, 0, send.endpoint, S.REJECTED)

    def shut(flow: tuple[int, int]) -> bool:
        return flow in s.circuits and s.circuits[flow].open_until > d.now

    fail(0, 1)
    assert shut((0, 1)) and not shut((0, -1)) and not shut((-1, 1))
    fail(1, 1)
    assert shut((-1, 1)) and not shut((0, -1)) and not shut((1, -1))


def test_what_is_refused_does_not_raise_the_cold_budget() -> None:
    d = Driver([UNSAFE], cold_overload_factor=1.5, initial_capacity_share=0.2, slow_start_ms=20_000.0)
    d.servers(1)
    d.serve(400)
    d.list(EndpointEntry(sid(1), started_at_ms=d.now), mode=UpdateMode.DELTA)
    carried = d.policies.slow_start.work_rate_per_size
    d.policies.latency.arrivals.rate = 50.0 * carried  # a storm of clients' repeats
    d.refresh()
    assert (
        0.0 < d.endpoints[sid(1)].cold_rate <= 1.01 * 0.9 * 0.2 * carried
    )  # 0.6 of the multiple that tips it


def test_failed_connects_come_out_of_the_retry_budget() -> None:
    d = Driver([UNSAFE])
    d.servers(2)
    d.policies.retry_budget.tokens = 0.0  # each further connect would cost a server another handshake
    (send,) = sends(d.request())
    assert finals(d.outcome(send.id, 0, send.endpoint, S.CONNECT_FAILED)) == [Reject(1, 0.0)]
    assert d.policies.retry_budget.tokens == 0.2


def test_the_first_limit_falls_with_the_number_of_instances_that_share_a_server() -> None:
    assert [fleet(0, n, 10).policies.limit.per_endpoint for n in (1, 3, 100)] == [
        3.0,
        pytest.approx(5 / 3),
        1.0,
    ]


def test_where_connects_often_fail_open_connections_go_first() -> None:
    d = Driver([UNSAFE])
    d.servers(3)
    (send,) = sends(d.request())
    d.outcome(send.id, 0, send.endpoint)  # one connection is open now
    assert len(set(d.serve(6))) == 3
    for s in d.endpoints.values():
        s.connections = int(s.id == send.endpoint)
    d.policies.connections.connect_failure_share = 0.5
    assert set(d.serve(6)) == {send.endpoint}
    d.request()
    assert sends(d.request())  # a preference: with none free, a new one is opened


def test_an_instance_that_saw_live_sizes_under_load_only_gives_cold_servers_no_more_than_the_mean() -> None:
    d = Driver(
        [UNSAFE],
        weights_live=True,
        cold_overload_factor=1.5,
        initial_capacity_share=0.2,
        slow_start_ms=20_000.0,
    )
    loaded = [EndpointEntry(sid(i), weight=0.2) for i in (0, 1)]
    d.list(*loaded, EndpointEntry(sid(2), weight=1.0, started_at_ms=d.now))
    d.serve(200)
    d.refresh()
    s, carried = d.endpoints[sid(2)], d.policies.slow_start.work_rate_per_size
    assert (
        0.0
        < s.cold_rate
        <= 0.9 * d.policies.slow_start.warm_up_factor(s, d.lb.requests.now) * 0.2 * carried * 1.01
    )


def test_connections_idle_for_as_long_as_a_lost_one_are_opened_anew() -> None:
    d = Driver([UNSAFE])
    d.servers(1)
    d.serve(3)
    assert not [a for a in d.log if isinstance(a, CloseIdle)]
    d.now += 1000.0
    (send,) = sends(d.request())
    d.now += 300.0
    d.outcome(send.id, 0, send.endpoint, S.RESET)
    d.now += 500.0
    d.serve(1)
    d.now += 800.0
    assert [type(a) for a in d.request() if not isinstance(a, SetTimer)] == [CloseIdle, Send]
    d.policies.connections.connect_failure_share = 0.5  # but not where connects fail
    d.outcome(d.next_id, 0, send.endpoint)
    d.now += 800.0
    assert not [a for a in d.request() if isinstance(a, CloseIdle)]


def test_an_attempt_passed_over_by_four_later_ones_holds_no_place_any_longer() -> None:
    d = Driver([UNSAFE])
    d.servers(1)
    (s,) = d.endpoints.values()
    s.limit = s.own_limit = 2
    d.lb.refresh.last_at = 1e12  # the limit stays
    assert len(sends(d.request())) == 1  # swallowed
    for _ in range(4):
        assert s.written_off == 0
        (send,) = sends(d.request())
        d.now += 5.0
        d.outcome(send.id, 0, send.endpoint)
    assert (s.in_flight, s.written_off) == (1, 1)
    assert [len(sends(d.request())) for _ in range(3)] == [1, 1, 0]  # both places are free
    d.outcome(1, 0, s.id, S.TIMEOUT)
    assert (s.in_flight, s.written_off, len(s.later_responses)) == (2, 0, 2)
