#!/bin/sh
# The stand-ins are Python; they need only the libraries of the deploy file's
# build (target/deps) and the sources of this checkout.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=.:review:target/deps python3 -c 'import aiohttp, fakes.row_store, rig'
