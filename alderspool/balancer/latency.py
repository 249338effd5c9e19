"""How fast latencies, class mix and traffic are learned, and from what; `latency_estimates` learns them."""

TRAFFIC_DECAY_MS = 10_000.0  # of the moving averages of class mix, latencies and traffic volume
SPEED_DECAY_MS = 4000.0  # of the speed figures: tens of samples, yet quick to notice a slowdown
MIX_PRIOR_REQUESTS = 30.0  # that the first mix counts for; equal counts would give the long nearly all
COSTLY_PRIOR_REQUESTS = 1e-6  # first share of costly requests where cost hints split the only class
TYPICAL_SHARE_OF_OBJECTIVE = 0.25  # typical latency before anything is learned
NO_LOAD_SHARE_OF_TYPICAL = 0.5  # no-load latency before anything is learned
TYPICAL_PRIOR_RESPONSES = 3.0  # that the former typical latency counts for
MIN_RESPONSES = 0.5  # moving count below which the typical latency stays as it is
NO_LOAD_RISE = 1.003  # these steps settle at the 15th percentile
NO_LOAD_FALL = 0.983
HINT_GAIN = 0.02  # of the moving average of cost hints
COSTLY_FACTOR = 1.5  # multiple of the mean cost hint above which a request is costly
