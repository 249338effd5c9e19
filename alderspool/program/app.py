"""Wires the parts together, and takes them down in order."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from functools import partial

from loguru import logger

from alderspool.program.config import Config, ConfigError, load
from alderspool.program.signals import EarlySignals
from alderspool.protocol.downstream import RequestReader
from alderspool.routing.clock import Clock
from alderspool.routing.exchange import Exchange
from alderspool.transport.arrival import TimedSelector
from alderspool.transport.descriptor_budget import DOWNSTREAM_SHARE, DescriptorBudget
from alderspool.transport.discovery import DiscoveryClient
from alderspool.transport.listener import Listener
from alderspool.transport.upstream_pool import UpstreamPool

# Where lists are pushed, what the agent beside us has counts as told from our first moment: nobody is let in
# before it has answered, unless it is silent for so long.
AGENT_S = 2.0
# After SIGTERM new connections keep coming for a while, so the door stays open this long.
ACCEPT_S = 0.7
# SIGKILL comes no sooner than ACCEPT_S plus the longest deadline, counted as this where it is longer.
LONGEST_DEADLINE_S = 3.0
# What is owed so long before that is answered then: on a shared core timers fire late, and SIGTERM was
# sent some time before we saw it. Never more than the second figure of the longest deadline.
EXIT_MARGIN_S, EXIT_MARGIN_PART = 0.25, 0.25
# The last answers may take so long to leave; who has not read them by then is let go.
LEAVE_S = 3.0
DRAIN_STEP_S = 0.02
# What lives from the start is set aside, so that a collection looks at what is open now and takes a
# millisecond or two. asyncio's transports and httptools' parsers are cycles: without frequent
# collections each connection that ever was would stay in memory for minutes.
GC_THRESHOLDS = (5_000, 5, 5)


async def serve(
    config: Config, early: EarlySignals | None = None, selector: TimedSelector | None = None
) -> None:
    """Serves until SIGTERM or SIGINT, then finishes what was taken. `early`: signals that came meanwhile.
    `selector`: the event loop's."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    exchange = Exchange(config.settings, config.seed, Clock())
    budget = DescriptorBudget.of(config.limits.sockets)
    pool = UpstreamPool(exchange, config.settings, budget.allot(1.0))
    discovery = DiscoveryClient(
        config.discovery, exchange, config.settings, config.known.revision, config.seed
    )
    obey = {
        signal.SIGHUP: partial(_reload, config, discovery),
        signal.SIGTERM: stop.set,
        signal.SIGINT: stop.set,
    }
    for number, act in obey.items():
        loop.add_signal_handler(number, act)
    if early is not None:
        early.hand_over(obey)
    listener = Listener(exchange, RequestReader(config.settings), budget.allot(DOWNSTREAM_SHARE), selector)
    try:
        listener.bind(*config.listen)
    except OSError as fault:
        raise ConfigError(f"BALANCER_LISTEN: cannot listen there: {fault.strerror}") from None
    exchange.start(pool, discovery, config.known)
    if not config.settings.list_on_request and not await discovery.wait_for_list(AGENT_S):
        logger.warning("no list from the agent at the start: what was known last holds")
    if not stop.is_set():  # told to end before it could begin: nobody is let in
        listener.start_accepting()
        logger.info(
            "{} serves at {}:{}; {} machines known", config.name, *config.listen, len(config.known.endpoints)
        )
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        await stop.wait()
        logger.info("{} drains; {} requests owed", config.name, exchange.pending_count)
        await _drain(exchange, listener, config)
    logger.info("{} ends; {}", config.name, exchange.counts)


def _reload(config: Config, discovery: DiscoveryClient) -> None:
    """Takes over where the list comes from now. All that is taken, learned and open stays as it is."""
    try:
        fresh = load(os.environ, anew=True)
    except ConfigError as fault:  # a file that is half written, or wrong, must not end the service
        logger.error("configuration not taken over, the old one holds: {}", fault)
        return
    discovery.move_to(fresh.discovery)
    logger.info("{} has its list from {}:{} now", config.name, *fresh.discovery)
    if (fresh.settings, fresh.limits) != (config.settings, config.limits):
        logger.warning("settings or limits have changed too: they take a restart")


async def _drain(exchange: Exchange, listener: Listener, config: Config) -> None:
    """Leaves when nothing is owed and no byte waits to leave; by the last moment all is answered."""
    loop = asyncio.get_running_loop()
    longest = min(max(c.deadline_ms for c in config.settings.classes) / 1000.0, LONGEST_DEADLINE_S)
    last = loop.time() + ACCEPT_S + longest - min(EXIT_MARGIN_S, EXIT_MARGIN_PART * longest)
    listener.start_draining()
    await asyncio.sleep(ACCEPT_S)
    listener.stop_accepting()
    while (exchange.pending_count or listener.open_count) and loop.time() < last:
        await asyncio.sleep(DRAIN_STEP_S)
        listener.close_idle()
    exchange.fail_pending()
    while listener.open_count and loop.time() < last + LEAVE_S:
        listener.reject_incomplete()
        await asyncio.sleep(DRAIN_STEP_S)
    listener.abort_all()


def run(config: Config, early: EarlySignals | None = None) -> None:
    selector = TimedSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(serve(config, early, selector))
