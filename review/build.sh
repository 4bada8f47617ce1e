#!/bin/sh
# Builds the stand-ins that the scripts start: Python without dependencies, so this compiles it.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins.py */case.py
