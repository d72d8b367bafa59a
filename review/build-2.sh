#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they need the standard library only.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins-2 6 7 8
