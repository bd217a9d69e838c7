#!/usr/bin/env bash
# Every test that README.md and docs/ name must exist: a page that says which
# test holds a promise must not outlive that test's name.
set -euo pipefail
cd "$(dirname "$0")/.."
tests=$(grep -rhoE '^func (Test|Fuzz|Benchmark|Example)[A-Za-z0-9_]*' --include='*_test.go' . | awk '{print $2}' | sort -u)
named=$(grep -hoE '\b(Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*' README.md docs/*.md docs/design/*.md | sort -u)
missing=$(comm -13 <(echo "$tests") <(echo "$named"))
if [ -n "$missing" ]; then
	echo "pages name tests that do not exist:"
	echo "$missing"
	exit 1
fi
