#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/, beside the programs of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig-2 ./review/rig-2
