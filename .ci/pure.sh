#!/usr/bin/env bash
# The folders named in .ci/pure.txt hold rules: events and times in, actions
# out. They must not reach the network, the disk, the clock or a scheduler.
set -euo pipefail
cd "$(dirname "$0")/.."
bad=0
complain() { echo "pure: $*"; bad=1; }
while read -r folder; do
	case "$folder" in '' | '#'*) continue ;; esac
	[ -d "$folder" ] || { complain "$folder is no folder"; continue; }
	files=$(find "$folder" -maxdepth 1 -name '*.go' ! -name '*_test.go')
	[ -n "$files" ] || { complain "$folder holds no Go files"; continue; }
	for import in $(go list -f '{{join .Imports " "}}' "./$folder"); do
		case "$import" in
		net/netip) ;;
		net | net/* | os | os/* | syscall | golang.org/x/sys/* | */netpoll | */netpoll/*) complain "$folder imports $import" ;;
		esac
	done
	# shellcheck disable=SC2086
	if grep -nE '\btime\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\b' $files; then complain "$folder reads the time"; fi
	# shellcheck disable=SC2086
	if grep -nE '^[[:space:]]*go (func|[a-zA-Z_.]+\()' $files; then complain "$folder starts a goroutine"; fi
	# shellcheck disable=SC2086
	if grep -nE '(^|[^.[:alnum:]_])rand\.(Int|IntN|Intn|Uint32|Uint64|Float64|Perm|Shuffle|N|Seed)\(' $files; then complain "$folder draws unseeded randomness"; fi
done <.ci/pure.txt
exit "$bad"
