#!/usr/bin/env bash
# Exits with 1 if an open flow is reset, 0 if none is, 2 if the case couldn't run. TROUBLE=0 leaves
# out the planned restarts.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/fescueshift-passthrough
standin=target/review/planned
[ -x "$program" ] && [ -x "$standin" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$standin" drain "$program" "$folder" review/6/record.txt &
standin_pid=$!
# The stand-in ends its processes and itself on a signal, and after 80 s.
trap 'kill -TERM $standin_pid 2>/dev/null' HUP INT TERM
wait "$standin_pid"
code=$?
while kill -0 "$standin_pid" 2>/dev/null; do wait "$standin_pid"; code=2; done
[ "$code" -le 2 ] || code=2
exit "$code"
