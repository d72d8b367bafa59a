#!/bin/sh
# Builds the stand-ins of the cases: Python of the standard library, compiled here.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins [1-5]
