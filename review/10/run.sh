#!/usr/bin/env bash
# Plays case 10: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. See claim.txt.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/bin/review-2/case-10
if [ ! -x "$program" ] || [ ! -x "$root/bin/lotusbend" ]; then
	echo "not run: build the routers as the deploy file says, then review/build-2.sh"
	exit 2
fi
timeout -k 1 118 "$program" "$folder" "$root"
rc=$?
[ "$rc" -le 2 ] || rc=2
exit "$rc"
