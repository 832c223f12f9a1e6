#!/usr/bin/env bash
# Builds the programs of the third review's cases into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/cases-3/*/; do
	go build -tags review -o "target/review-3-$(basename "$dir")" "./$dir"
done
