#!/usr/bin/env bash
# Builds the programs that the cases start, the stand-ins among them.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/...
