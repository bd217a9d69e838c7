#!/usr/bin/env bash
# Checks that the packages listed in .ci/pure.txt are pure: they take events and
# times and return actions, and must not use the network, the disk, the clock,
# goroutines or unseeded randomness.
set -euo pipefail
cd "$(dirname "$0")/.."
bad=0
complain() { echo "pure: $*"; bad=1; }
while read -r folder; do
	case "$folder" in '' | '#'*) continue ;; esac
	[ -d "$folder" ] || { complain "$folder is not a directory"; continue; }
	files=$(find "$folder" -maxdepth 1 -name '*.go' ! -name '*_test.go')
	[ -n "$files" ] || { complain "$folder holds no Go files"; continue; }
	for import in $(go list -f '{{join .Imports " "}}' "./$folder"); do
		case "$import" in
		net/netip) ;;
		net | net/* | os | os/* | syscall | golang.org/x/sys/* | */netpoll | */netpoll/*) complain "$folder imports $import" ;;
		esac
	done
	# shellcheck disable=SC2086
	if grep -nE '\btime\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\b' $files; then complain "$folder uses the clock or a timer"; fi
	# shellcheck disable=SC2086
	if grep -nE '^[[:space:]]*go (func|[a-zA-Z_.]+\()' $files; then complain "$folder starts a goroutine"; fi
	# shellcheck disable=SC2086
	if grep -nE '(^|[^.[:alnum:]_])rand\.(Int|IntN|Intn|Uint32|Uint64|Float64|Perm|Shuffle|N|Seed)\(' $files; then complain "$folder uses unseeded randomness"; fi
done <.ci/pure.txt
exit "$bad"
