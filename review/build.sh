#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into review/bin. The
# router itself is built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[1-9]; do
	go build -o "review/bin/case$(basename "$case")" "./$case"
done
