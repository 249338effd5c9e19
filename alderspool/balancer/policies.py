"""Constructs the policies of one balancer and connects them to each other."""

from __future__ import annotations

from random import Random

from alderspool.balancer.admission_queue import AdmissionQueue
from alderspool.balancer.class_isolation import ClassIsolation
from alderspool.balancer.concurrency_limit import ConcurrencyLimit
from alderspool.balancer.connection_health import ConnectionHealth
from alderspool.balancer.endpoint_list import EndpointList
from alderspool.balancer.latency_estimates import LatencyEstimates, WorkRate
from alderspool.balancer.load_reports import LoadReports
from alderspool.balancer.outlier_detection import OutlierDetector
from alderspool.balancer.peer_loads import PeerLoads
from alderspool.balancer.retry_budget import RetryBudget
from alderspool.balancer.retry_rules import RetryRules
from alderspool.balancer.rotation import Rotation
from alderspool.balancer.settings import Settings
from alderspool.balancer.slow_start import SlowStart
from alderspool.balancer.subset import EndpointSubset


class Policies:
    """One instance of each policy. They share the settings and the random number generator."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.latency = LatencyEstimates(settings)
        self.endpoint_list = EndpointList(settings, random, self.latency.class_count)
        self.subset = EndpointSubset(settings, self.endpoint_list, self.latency)
        self.outliers = OutlierDetector(settings, self.latency)
        self.isolation = ClassIsolation(settings, self.latency)
        self.connections = ConnectionHealth()
        self.slow_start = SlowStart(settings, self.latency, WorkRate(self.latency))
        self.limit = ConcurrencyLimit()
        self.retry_rules = RetryRules(settings, self.latency)
        self.retry_budget = RetryBudget(settings)
        peers = PeerLoads(self.endpoint_list, settings.instance_count)
        self.load_reports = LoadReports(settings, peers, settings.peer_messages_allowed)
        self.queue = AdmissionQueue(settings, self.latency)
        self.rotation = Rotation(
            settings, random, self.latency, self.subset, self.isolation, self.connections, self.retry_rules
        )
