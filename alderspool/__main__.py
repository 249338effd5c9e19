"""`python -m alderspool`: the command line."""

from alderspool.program.cli import main

main()
