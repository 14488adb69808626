#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
program=target/review-3/ReportOfAnotherWriter
[ -x "$program" ] || exit 2
timeout --kill-after=2 116 "$program" "$PWD" "review/15/record.txt"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
