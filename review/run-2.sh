#!/usr/bin/env bash
# run-2.sh CASE FOLDER plays a case of the second review, and writes FOLDER/record.txt. Exit status: 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
case=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
program=$PWD/target/lovagedyke
player=$PWD/target/review-cases-2
if [ ! -x "$program" ] || [ ! -x "$player" ]; then
	echo "build the deploy file and review/build-2.sh first" >&2
	exit 2
fi
work=$(mktemp -d)
pid=
cleanup() {
	# The player ends the nodes that it has started.
	[ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null && wait "$pid"
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
"$player" "$case" "$program" "$work" "$folder/record.txt" &
pid=$!
wait "$pid"
status=$?
pid=
exit "$status"
