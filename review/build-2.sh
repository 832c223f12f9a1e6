#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's cases into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-cases-2 ./review/cases-2
