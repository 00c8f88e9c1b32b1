#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library of Python only, so
# there is nothing to fetch; compiling them shows that the machine's Python reads them.
cd "$(dirname "$0")/.." && python3 -m compileall -q review
