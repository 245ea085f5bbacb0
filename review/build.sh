#!/bin/sh
# Nothing has to be built: the stand-ins of all cases are review/kit.py and the run.py of
# each case, which use the standard library only. This checks that they compile.
cd "$(dirname "$0")" && exec python3 -m compileall -q kit.py [1-5]
