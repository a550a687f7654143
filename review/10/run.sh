#!/usr/bin/env bash
# A machine is added while the store is down; the machines then hand out more than the quota.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Writes record.txt beside this file.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/cornellink-gateway ] && [ -x target/review-2/main ] || exit 2
export TROUBLE="${TROUBLE:-1}"
rm -f review/10/record.txt
exec timeout -k 2 110 target/review-2/main quota review/10
