"""Entry point of `python -m alderspool`: runs the command line."""

import signal
import sys

# SIGHUP makes `serve` reload its configuration. Its default action would end the process, so it is ignored
# until the imports below are done and `serve` can install its own handler.
if sys.argv[1:2] == ["serve"]:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from alderspool.program.cli import main

main()
