#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
program=target/review/release/review-standin
if [ ! -x "$program" ] || [ ! -x target/release/daisyshift ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
dir="$(mktemp -d)" || exit 2
"$program" images "$here/record.txt" "$dir" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' INT TERM
wait "$pid"
code=$?
rm -rf "$dir"
case "$code" in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
