#!/bin/sh
# Builds the stand-ins that the cases start: target/review/rig. Run it after the build of
# the deploy file, which builds the daemon.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig.new ./review/_rig
mv target/review/rig.new target/review/rig
