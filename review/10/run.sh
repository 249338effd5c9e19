#!/usr/bin/env bash
# Plays the case of this folder: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || { echo "build first: deploy/balancer.toml and review/build-2.sh" >&2; exit 2; }
exec .venv/bin/python "$here/case.py"
