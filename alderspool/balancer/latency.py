"""Constants of `latency_estimates`: decay times, priors and gains of the latency and traffic estimates."""

TRAFFIC_DECAY_MS = 10_000.0  # e-folding time of the moving averages of class mix, latency and traffic volume
SPEED_DECAY_MS = 4000.0  # e-folding time of endpoint speeds: tens of samples, yet quick to notice a slowdown
# Number of requests that the initial class mix counts for. It gives each class a count in inverse proportion
# to its latency objective; with equal counts, long classes would get nearly all endpoints.
MIX_PRIOR_REQUESTS = 30.0
COSTLY_PRIOR_REQUESTS = 1e-6  # initial count of costly requests, where cost hints split the only class
TYPICAL_SHARE_OF_OBJECTIVE = 0.25  # initial typical latency, as a share of the latency objective
NO_LOAD_SHARE_OF_TYPICAL = 0.5  # initial no-load latency, as a share of the typical latency
TYPICAL_PRIOR_RESPONSES = 3.0  # number of responses that the previous typical latency counts for
MIN_RESPONSES = 0.5  # decayed count of responses below which the typical latency is not updated
# Factors by which a response above or below the no-load latency moves it. They settle at the 15th percentile.
NO_LOAD_RISE = 1.003
NO_LOAD_FALL = 0.983
HINT_GAIN = 0.02  # gain of the moving average of cost hints
COSTLY_FACTOR = 1.5  # a request is costly if its cost hint exceeds this multiple of the mean hint
