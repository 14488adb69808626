#!/usr/bin/env bash
# One edge machine gets SIGTERM while requesters use the connections that they keep; most streams are short, six are long.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 sends no SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stop_with_streams ] && [ -x target/platform/hickoryhollowd-platform ] || exit 2
exec timeout -k 1 118 target/review-2/stop_with_streams review/7/record.txt
