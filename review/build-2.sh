#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the clients and stand-ins in them,
# after the deploy file's build. Needs Go and what that build has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
for n in 6 7 8 9 10; do
	[ ! -f "review/$n/main.go" ] || go build -o "bin/review-2/case-$n" "./review/$n"
done
