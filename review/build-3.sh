#!/bin/sh
# Builds the stand-ins that the scripts of review 3 start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3-rig ./review/_rig3
