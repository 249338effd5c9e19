"""The running proxy: wires its parts together, handles signals, and shuts down.

How the shutdown proceeds is in `program/graceful_shutdown`, what the configuration holds in `program/config`.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from functools import partial

from loguru import logger

from alderspool.program.config import Config, EnvironmentVariable, load_for_reload
from alderspool.program.errors import ConfigError
from alderspool.program.graceful_shutdown import ShutdownBudget, shut_down
from alderspool.program.signals import EarlySignals, SignalAction
from alderspool.protocol.downstream import RequestReader
from alderspool.routing.clock import Clock
from alderspool.routing.exchange import Exchange
from alderspool.transport.arrival import TimedSelector
from alderspool.transport.descriptor_budget import DOWNSTREAM_SHARE, DescriptorBudget
from alderspool.transport.discovery import DiscoveryClient
from alderspool.transport.listener import Listener
from alderspool.transport.upstream_pool import UpstreamPool

# Where an agent on this host pushes the endpoint list, whatever the agent holds counts as notified from the
# first moment of this process. So no connection is accepted before the agent has delivered its list, or has
# been silent for this long.
FIRST_LIST_TIMEOUT_S = 2.0
# The upstream side may use all descriptors that the downstream side leaves free.
UPSTREAM_SHARE = 1.0
# asyncio's transports and httptools' parsers are reference cycles: without frequent collections, each closed
# connection would stay in memory for minutes. What lives from the start is frozen, so that a collection
# examines only what is open now, and takes a millisecond or two.
GC_THRESHOLD_GENERATION_0 = 5_000
GC_THRESHOLD_GENERATION_1 = 5
GC_THRESHOLD_GENERATION_2 = 5


async def serve(
    config: Config,
    early_signals: EarlySignals | None = None,
    selector: TimedSelector | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    `early_signals` are those that arrived while the program was loading. If one of them asks for the end, no
    connection is accepted. `selector` is the event loop's: it tells the listener how long connections may
    have waited in the accept queue. Raises ConfigError where the address to listen at cannot be bound.
    """
    stop_requested = asyncio.Event()
    exchange = Exchange(config.settings, config.seed, Clock())
    budget = DescriptorBudget.of(config.limits.sockets)
    pool = UpstreamPool(exchange, config.settings, budget.allot(UPSTREAM_SHARE))
    discovery = DiscoveryClient(
        config.discovery, exchange, config.settings, config.known.revision, config.seed
    )
    _handle_signals(
        {
            signal.SIGHUP: partial(_reload, config, discovery),
            signal.SIGTERM: stop_requested.set,
            signal.SIGINT: stop_requested.set,
        },
        early_signals,
    )
    listener = Listener(exchange, RequestReader(config.settings), budget.allot(DOWNSTREAM_SHARE), selector)
    _bind(listener, config)
    exchange.start(pool, discovery, config.known)
    if not config.settings.list_on_request and not await discovery.wait_for_list(FIRST_LIST_TIMEOUT_S):
        logger.warning("no endpoint list from the agent yet: starting with the last known one")
    if not stop_requested.is_set():
        listener.start_accepting()
        logger.info(
            "{} listens at {}:{}; {} endpoints known",
            config.name,
            config.listen.host,
            config.listen.port,
            len(config.known.endpoints),
        )
        _set_up_garbage_collection()
        await stop_requested.wait()
        logger.info("{} is draining; {} requests pending", config.name, exchange.pending_count)
        await shut_down(exchange, listener, ShutdownBudget.from_settings(config.settings))
    logger.info("{} stopped; {}", config.name, exchange.counts)


def run(config: Config, early_signals: EarlySignals | None = None) -> None:
    """Run `serve` in an event loop of its own, whose selector keeps the times that the listener needs."""
    selector = TimedSelector()
    loop_factory = partial(asyncio.SelectorEventLoop, selector)
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(serve(config, early_signals, selector))


def _handle_signals(actions: dict[signal.Signals, SignalAction], early_signals: EarlySignals | None) -> None:
    """Let the event loop handle the signals from now on, and handle those that arrived before."""
    loop = asyncio.get_running_loop()
    for number, action in actions.items():
        loop.add_signal_handler(number, action)
    if early_signals is not None:
        early_signals.replay(actions)


def _bind(listener: Listener, config: Config) -> None:
    try:
        listener.bind(config.listen.host, config.listen.port)
    except OSError as error:
        raise ConfigError(EnvironmentVariable.LISTEN, f"cannot listen there: {error.strerror}") from error


def _set_up_garbage_collection() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_GENERATION_0, GC_THRESHOLD_GENERATION_1, GC_THRESHOLD_GENERATION_2)


def _reload(config: Config, discovery: DiscoveryClient) -> None:
    """Move to the discovery address that the configuration states now.

    Requests, connections and what was learned stay as they are. A file that is incomplete or unusable must
    not end the service: it is logged, and the configuration in force stays.
    """
    try:
        new_config = load_for_reload(os.environ)
    except ConfigError as error:
        logger.error("reload failed, the configuration in force stays: {}", error)
        return
    discovery.switch_address(new_config.discovery)
    logger.info(
        "{} uses discovery at {}:{} now",
        config.name,
        new_config.discovery.host,
        new_config.discovery.port,
    )
    if new_config.settings != config.settings or new_config.limits != config.limits:
        logger.warning("settings or limits have changed too: these need a restart")
