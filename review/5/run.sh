#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
set -u
cd "$(dirname "$0")" || exit 2

harness=../../target/review-harness
program=../../target/skylarkweir

if [ ! -x "$harness" ] || [ ! -x "$program" ]; then
  echo "not run: build with the build line of deploy/system.toml and with review/build.sh first" >&2
  exit 2
fi

exec "$harness" -program "$program" -record record.txt spread
