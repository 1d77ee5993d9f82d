#!/usr/bin/env bash
# The stand-ins are Python of the standard library; this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins
