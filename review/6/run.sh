#!/usr/bin/env bash
# Three of five core machines are replaced as planned work: successors first, SIGTERM to the old ones 12 s later, 1 s apart.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 sends no SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/planned_replacement ] && [ -x target/platform/hickoryhollowd-platform ] || exit 2
exec timeout -k 1 118 target/review-2/planned_replacement review/6/record.txt
