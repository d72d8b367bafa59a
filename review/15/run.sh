#!/bin/sh
# Runs the case after the build of the deploy file; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review exec timeout -k 5 115 python3 review/15/case.py
