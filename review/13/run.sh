#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-3/case-$(basename "$here")
[ -x "$program" ] && [ -x target/bin/poplardrift-router ] || { echo 'build the deploy file and review/build-3.sh first'; exit 2; }
scratch=$(mktemp -d) || exit 2
clean_up() {
  # Routers that are still there because the program was ended.
  for file in "$scratch"/*.pid; do
    [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
  done
  rm -rf "$scratch"
}
trap clean_up EXIT
TROUBLE=${TROUBLE:-1} timeout -k 2 112 "$program" "$here" "$scratch"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
