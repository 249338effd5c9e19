#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. They need Python's standard library only, and none of the project's
# own stand-ins is started, so this only compiles them. Run it after `build` of deploy/balancer.toml.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
.venv/bin/python -m compileall -q review/rig2
for case in review/[6-9] review/10; do
    if [ -d "$case" ]; then .venv/bin/python -m compileall -q "$case"; fi
done
