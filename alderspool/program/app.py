"""The proxy process: creates and connects its components, handles signals, and shuts down.

See `program/graceful_shutdown` for the steps of the shutdown, and `program/config` for the configuration.
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
from alderspool.program.signals import SignalHandler, StartupSignals
from alderspool.protocol.downstream import RequestReader
from alderspool.routing.clock import Clock
from alderspool.routing.exchange import Exchange
from alderspool.transport.descriptor_budget import DOWNSTREAM_SHARE, DescriptorBudget
from alderspool.transport.discovery import DiscoveryClient
from alderspool.transport.listener import Listener
from alderspool.transport.upstream_pool import UpstreamPool

# If a local agent pushes the endpoint list, the proxy is expected to act on the agent's current list from the
# start of the process. So connections are accepted only once the agent has sent its list, or after this
# timeout.
INITIAL_LIST_TIMEOUT_S = 2.0
# Share of the descriptor budget: the upstream side may use everything that the downstream side leaves free.
UPSTREAM_SHARE = 1.0
# asyncio's transports and httptools' parsers form reference cycles: without frequent collections, closed
# connections would stay in memory for minutes. Objects created at start-up are frozen, so that a collection
# examines only the objects created since, and takes a millisecond or two.
GC_THRESHOLD_GENERATION_0 = 5_000
GC_THRESHOLD_GENERATION_1 = 5
GC_THRESHOLD_GENERATION_2 = 5


async def serve(config: Config, startup_signals: StartupSignals | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    `startup_signals` holds the signals that arrived while the program was loading. If SIGTERM or SIGINT is
    among them, no connection is accepted. Raises ConfigError if the listen address cannot be bound.
    """
    shutdown_requested = asyncio.Event()
    exchange = Exchange(config.settings, config.seed, Clock())
    budget = DescriptorBudget.of(config.limits.sockets)
    pool = UpstreamPool(exchange, config.settings, budget.allot(UPSTREAM_SHARE))
    discovery = DiscoveryClient(
        config.discovery, exchange, config.settings, config.known.revision, config.seed
    )
    _install_signal_handlers(
        {
            signal.SIGHUP: partial(_reload, config, discovery),
            signal.SIGTERM: shutdown_requested.set,
            signal.SIGINT: shutdown_requested.set,
        },
        startup_signals,
    )
    listener = Listener(
        exchange,
        RequestReader(config.settings),
        budget.allot(DOWNSTREAM_SHARE),
        config.limits.memory_mb,
    )
    _bind(listener, config)
    exchange.start(pool, discovery, config.known)
    if not config.settings.list_on_request and not await discovery.wait_for_list(INITIAL_LIST_TIMEOUT_S):
        logger.warning("no endpoint list from the local agent yet: starting with the last known list")
    if not shutdown_requested.is_set():
        listener.start_accepting()
        logger.info(
            "{} listening at {}:{}; {} endpoints known",
            config.name,
            config.listen.host,
            config.listen.port,
            len(config.known.endpoints),
        )
        _configure_garbage_collection()
        await shutdown_requested.wait()
        logger.info("{} is draining; {} requests pending", config.name, exchange.pending_count)
        await shut_down(exchange, listener, ShutdownBudget.from_settings(config.settings))
    logger.info("{} stopped; {}", config.name, exchange.counts)


def run(config: Config, startup_signals: StartupSignals | None = None) -> None:
    """Run `serve` in a new event loop."""
    asyncio.run(serve(config, startup_signals))


def _install_signal_handlers(
    handlers: dict[signal.Signals, SignalHandler], startup_signals: StartupSignals | None
) -> None:
    """Add the handlers to the event loop, then call them for the signals that arrived during start-up."""
    loop = asyncio.get_running_loop()
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    if startup_signals is not None:
        startup_signals.replay(handlers)


def _bind(listener: Listener, config: Config) -> None:
    try:
        listener.bind(config.listen.host, config.listen.port)
    except OSError as error:
        raise ConfigError(
            EnvironmentVariable.LISTEN, f"cannot bind the listen address: {error.strerror}"
        ) from error


def _configure_garbage_collection() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_GENERATION_0, GC_THRESHOLD_GENERATION_1, GC_THRESHOLD_GENERATION_2)


def _reload(config: Config, discovery: DiscoveryClient) -> None:
    """Read the configuration again and switch to its discovery address.

    Requests, connections and the state of the balancer are kept. An incomplete or invalid file must not stop
    the proxy: the error is logged, and the current configuration stays in effect.
    """
    try:
        new_config = load_for_reload(os.environ)
    except ConfigError as error:
        logger.error("reload failed, keeping the current configuration: {}", error)
        return
    discovery.switch_address(new_config.discovery)
    logger.info(
        "{} now uses discovery at {}:{}",
        config.name,
        new_config.discovery.host,
        new_config.discovery.port,
    )
    if new_config.settings != config.settings or new_config.limits != config.limits:
        logger.warning("settings or limits have changed too: they take effect only after a restart")
