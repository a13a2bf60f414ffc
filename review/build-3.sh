#!/bin/sh
# Builds the stand-ins that the scripts of this review start, into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig-3 ./review/rig-3
