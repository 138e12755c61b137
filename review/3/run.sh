#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the
# disruption is left out.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review/StaleConfiguration"
[ -x "$program" ] || exit 2
timeout -k 2 115 "$program" "$here" "$root/target/bin/quetzalyoke-entry"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
