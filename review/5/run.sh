#!/usr/bin/env bash
# Runs the scenario beside this script. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review/scenario-$(basename "$folder")
[ -x "$program" ] && [ -x target/app/rhubarbwharfd ] || exit 2
work=$(mktemp -d) || exit 2
timeout -k 2 115 "$program" "$folder/record.txt" "$work"
status=$?
[ -n "${KEEP:-}" ] && cp "$work"/*.log "$KEEP"/
rm -rf "$work"
[ "$status" -le 2 ] || status=2
exit "$status"
