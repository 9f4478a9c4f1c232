#!/bin/sh
# Builds the stand-ins of all cases; the deploy file's build line comes first.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review/stage ./review/stage
