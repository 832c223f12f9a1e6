#!/usr/bin/env bash
# Runs nodes of an earlier revision and of this tree in one fleet while jobs are
# submitted through both: the old build leads first, the new build takes over when
# the old node is killed, and the old build again when the new node is stopped
# gracefully. Checks that every job completes and that no task runs twice.
# Usage: test/mixed-versions.sh REVISION
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()

# cleanup stops the processes that this script started, and no others.
cleanup() {
	for pid in "${pids[@]:-}"; do
		[ -n "$pid" ] && kill "$pid" 2>/dev/null || true
	done
	wait
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

say() { printf '\033[1mmixed:\033[0m %s\n' "$*"; }

# start_node <old|new> <n> starts a node of a build and sets $started to its process id.
start_node() {
	LOVAGEDYKE_CONFIG=$work/node-$2.json "$work/$1/lovagedyke" node >>"$work/$1.log" 2>&1 &
	started=$!
	pids+=("$started")
}

# await_leadership <old|new> <count> waits until a build's nodes have won leadership
# <count> times.
await_leadership() {
	for _ in $(seq 200); do
		[ "$(grep -c '"leadership won"' "$work/$1.log")" -ge "$2" ] && { say "the $1 build leads"; return; }
		sleep 0.05
	done
	say "the $1 build did not take over"
	tail -3 "$work"/*.log
	exit 1
}

say "build $1 and this tree"
mkdir "$work/source"
git archive "$1" | tar -x -C "$work/source"
(cd "$work/source" && go build -o "$work/old/" ./cmd/...)
go build -o "$work/new/" ./cmd/...
"$work/new/lovagedyke-standin" fleet -dir "$work" -nodes 2 -jobs 250 >"$work/report" 2>"$work/standin.log" &
standin=$!
pids+=("$standin")
while [ ! -s "$work/node-2.json" ]; do
	kill -0 "$standin" 2>/dev/null || { cat "$work/standin.log"; exit 1; }
	sleep 0.1
done
touch "$work/old.log" "$work/new.log"

start_node old 1
old=$started
await_leadership old 1
start_node new 2
new=$started
sleep 4
say "kill the old build's node"
kill -KILL "$old"
await_leadership new 1
start_node old 1
sleep 4
say "stop the new build's node gracefully"
kill -TERM "$new"
await_leadership old 2
start_node new 2

# The stand-in also exits with 1 for a completion that an endpoint reported and
# that was not acknowledged before the endpoint crashed, so only complete jobs and
# repeated tasks are checked.
wait "$standin" || true
cat "$work/report" "$work/standin.log"
for build in old new; do
	say "$build: $(grep -c '"request answered"' "$work/$build.log") requests answered, $(grep -c '"run start"' "$work/$build.log") runs started"
done
"$work/new/lovagedyke" explain 0000000000000060 "$work/old.log" "$work/new.log" | cut -c1-150 | head -6
grep -Eq '^jobs complete +250 of 250$' "$work/report"
grep -Eq '^tasks started twice +0$' "$work/report"
