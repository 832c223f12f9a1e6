#!/usr/bin/env bash
# Takes a machine down while tasks are started on it, and asks for the job after finish_s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3-reused-address ] && [ -x target/lovagedyke ] || exit 2
exec target/review-3-reused-address -program target/lovagedyke -record review/13/record.txt
