#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target

GOWORK=off go build -o ../../target/review-harness .
