"""`python -m alderspool`: the command line."""

import signal
import sys

# SIGHUP asks `serve` to reload. Until it can, which takes the imports below, SIGHUP must not end the process.
if sys.argv[1:2] == ["serve"]:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from alderspool.program.cli import main

main()
