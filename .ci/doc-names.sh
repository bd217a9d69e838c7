#!/usr/bin/env bash
# Checks that every test named in README.md and docs/ exists, so that a page that
# refers to a test is updated when the test is renamed.
set -euo pipefail
cd "$(dirname "$0")/.."
tests=$(grep -rhoE '^func (Test|Fuzz|Benchmark|Example)[A-Za-z0-9_]*' --include='*_test.go' . | awk '{print $2}' | sort -u)
named=$(grep -hoE '\b(Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*' README.md docs/*.md docs/design/*.md | sort -u)
missing=$(comm -13 <(echo "$tests") <(echo "$named"))
if [ -n "$missing" ]; then
	echo "README.md and docs/ name tests that do not exist:"
	echo "$missing"
	exit 1
fi
