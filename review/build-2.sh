#!/usr/bin/env bash
# Run after the build of the deploy file. The stand-ins of review/common-2 and common-3
# need nothing but Python's own library: they are compiled here, so that an error shows
# early.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common-2 common-3 [4-8]
