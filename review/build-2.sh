#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python and need nothing that
# the deploy file's build has not installed.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/stage
