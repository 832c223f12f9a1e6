#!/usr/bin/env bash
# Kills the leader seconds after a runner has left starts and lease renewals unanswered.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3-healthy-runs ] && [ -x target/lovagedyke ] || exit 2
exec target/review-3-healthy-runs -program target/lovagedyke -record review/14/record.txt
