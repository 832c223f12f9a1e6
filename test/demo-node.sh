#!/usr/bin/env bash
# Runs three nodes against the stand-in platform, kills and restarts the first
# one, crashes an endpoint, and checks that every job completes and that no task
# is started twice. Needs the binaries in bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
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

say() { printf '\033[1mdemo:\033[0m %s\n' "$*"; }

# start_node <n> starts a node and sets $started to its process id.
start_node() {
	LOVAGEDYKE_CONFIG=$work/node-$1.json "$bin/lovagedyke" node >>"$work/node-$1.log" 2>&1 &
	started=$!
	pids+=("$started")
}

say "start the platform: a store, six endpoints, callers"
"$bin/lovagedyke-standin" fleet -dir "$work" -jobs 100 >"$work/report" 2>"$work/standin.log" &
standin=$!
pids+=("$standin")
while [ ! -s "$work/node-3.json" ]; do
	kill -0 "$standin" 2>/dev/null || { cat "$work/standin.log"; exit 1; }
	sleep 0.1
done

say "start three nodes; 100 jobs of eight tasks each; an endpoint crashes halfway"
start_node 1
first=$started
start_node 2
start_node 3
sleep 3
say "kill node 1 and restart it two seconds later"
kill -KILL "$first"
sleep 2
start_node 1

if ! wait "$standin"; then
	cat "$work/report" "$work/standin.log"
	exit 1
fi
cat "$work/report"
say "timeline of the first job from the nodes' logs:"
"$bin/lovagedyke" explain 0000000000000001 "$work"/node-*.log | cut -c1-150 | head -6
