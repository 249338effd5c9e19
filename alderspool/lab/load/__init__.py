"""Open-loop load generator: requests are sent at their planned times, however slow the responses are."""
