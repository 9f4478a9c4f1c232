#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review; the program itself is built by
# the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stage-2 ./review/stage-2
