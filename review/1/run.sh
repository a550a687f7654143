#!/bin/bash
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
# With TROUBLE=0 no gateway gets a SIGTERM; all else is the same.
cd "$(dirname "$0")/../.." || exit 2
case=target/review/case-1
[ -x "$case" ] && [ -x target/release/cornellink-gateway ] || exit 2
TROUBLE="${TROUBLE:-1}" "$case" review/1/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
