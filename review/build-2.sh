#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file: their
# stand-ins and the driver of the daemons, in one program.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review2 ./review/_rig2
