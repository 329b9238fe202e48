#!/bin/sh
# Builds the stand-ins that the scripts of 6 to 10 start. They are Python modules of the standard
# library alone, in lib-2, and the scripts start nothing else but the program of the deploy file.
cd "$(dirname "$0")" && python3 -m compileall -q lib-2 6 7 8 9
