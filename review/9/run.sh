#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lab2 ] && [ -x target/wasabigated ] || exit 2
timeout 110 target/lab2 old review/9/record.txt &
pid=$!
trap 'kill $pid; wait $pid; exit 2' TERM INT
wait $pid
code=$?
[ $code -le 2 ] || code=2
exit $code
