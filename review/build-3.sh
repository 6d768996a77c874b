#!/bin/sh
# Builds the stand-ins of the third review. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/harness-3"
GOWORK=off go build -o ../../target/review-3/harness .
