#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 8 start. The programs of the deploy file are built by its own build line.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review-2

GOWORK=off go build -o ../../target/review-2/harness .
