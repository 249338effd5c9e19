"""`python -m alderspool`: the command line."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:  # until it can read its configuration anew, SIGHUP must not end it
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from alderspool.program.cli import main  # noqa: E402

main()
