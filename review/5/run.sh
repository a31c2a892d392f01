#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 in the environment, the disruptions are left out. Before it: the build of the deploy file, review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/wasabiyard-node ] && [ -x target/review/release/review-standins ] || {
  echo "build the program and the stand-ins first" >&2
  exit 2
}
exec target/review/release/review-standins private-route . review/5/record.txt
