#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
target/review-2/review-2 room review/6 &
case=$!
# The case notes the id of each process that it starts, and takes out those that have ended.
finish() {
    kill -KILL "$case" 2>/dev/null
    wait "$case" 2>/dev/null
    [ ! -s "$TMPDIR/started" ] || while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$TMPDIR/started"
    rm -rf "$TMPDIR"
    exit "$1"
}
trap 'finish 2' HUP INT TERM
wait "$case"
code=$?
[ "$code" -le 1 ] || code=2
finish "$code"
