#!/usr/bin/env bash
# Runs three nodes against the platform's stand-in, kills the first of them and
# starts it again, crashes an endpoint, and checks that each job ended once.
# Needs the binaries in bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
work=$(mktemp -d)
pids=()

# cleanup stops what this script started, and nothing else.
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

# start_node <n> starts a node; its process is in $started.
start_node() {
	LOVAGEDYKE_CONFIG=$work/node-$1.json "$bin/lovagedyke" node >>"$work/node-$1.log" 2>&1 &
	started=$!
	pids+=("$started")
}

say "the platform: a store, six endpoints, callers"
"$bin/lovagedyke-standin" fleet -dir "$work" -jobs 100 >"$work/report" 2>"$work/stage.log" &
stage=$!
pids+=("$stage")
while [ ! -s "$work/node-3.json" ]; do
	kill -0 "$stage" 2>/dev/null || { cat "$work/stage.log"; exit 1; }
	sleep 0.1
done

say "three nodes; 100 jobs of eight tasks; an endpoint crashes halfway"
start_node 1
first=$started
start_node 2
start_node 3
sleep 3
say "kill node 1, start it again two seconds later"
kill -KILL "$first"
sleep 2
start_node 1

if ! wait "$stage"; then
	cat "$work/report" "$work/stage.log"
	exit 1
fi
cat "$work/report"
say "what became of the first job, from the nodes' logs:"
"$bin/lovagedyke" explain 0000000000000001 "$work"/node-*.log | cut -c1-150 | head -6
