#!/usr/bin/env bash
# Runs the whole system on loopback under load, injects failures, and checks the
# results at endpoints and callers. Needs the binaries in bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
work=$(mktemp -d)
pids=()

# cleanup stops the processes that this script started, and no others.
cleanup() {
	local pid
	for pid in "${pids[@]:-}"; do
		[ -n "$pid" ] && kill "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]:-}"; do
		[ -n "$pid" ] && wait "$pid" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

say() { printf '\033[1mdemo:\033[0m %s\n' "$*"; }

# start <name> <command...> runs a process in the background and logs to $work.
start() {
	local name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pids+=($!)
	printf '%s' $! >"$work/$name.pid"
}

# stop <name> ends a process gracefully and fails unless it exits with 0.
stop() {
	local pid
	pid=$(cat "$work/$1.pid")
	kill -TERM "$pid"
	if ! wait "$pid"; then
		say "$1 did not stop cleanly"
		tail -5 "$work/$1.log"
		exit 1
	fi
}

# free_port sets $address to a loopback address that nothing listens on.
next_port=$((15000 + RANDOM % 16000))
free_port() {
	while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
		next_port=$((next_port + 1))
	done
	address=127.0.0.1:$next_port
	next_port=$((next_port + 1))
}

# eventually <seconds> <what> <command...> waits for a condition.
eventually() {
	local left=$(($1 * 20)) what=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		left=$((left - 1))
		if [ "$left" -le 0 ]; then
			say "gave up waiting for $what"
			tail -n 3 "$work"/*.log
			exit 1
		fi
		sleep 0.05
	done
}

declare -A addr

# reserve <name>... assigns a free address to each name.
reserve() {
	local name
	for name in "$@"; do
		free_port
		addr[$name]=$address
	done
}

# list_host <name> <json> puts a host on the platform's host list.
list_host() {
	curl -sf -X PUT "http://${addr[platform]}/hosts/$1" -d "$2" >/dev/null
}

# endpoint_host <index> <service> <state> lists the host of an endpoint.
endpoint_host() {
	local name=$2-$1
	list_host "host-$name" "{\"data-centre\":\"dc-$(($1 % 3 + 1))\",\"rack\":\"rack-$(($1 / 2))\",\"pool\":\"$2\",\"state\":\"$3\",\"endpoints\":[{\"service\":\"$2\",\"address\":\"${addr[$name]}\",\"slots\":8,\"connections\":64}]}"
}

# start_entry <index> starts an entry.
start_entry() {
	start "entry-$1" "$bin/lovagedyke" entry -name "entry-$1" -host "entry-host-$1" -data-centre "dc-$1" \
		-caller-address "${addr[caller-$1]}" -peer-address "${addr[entry-peer-$1]}" \
		-operations-address "${addr[entry-ops-$1]}" -platform-address "${addr[platform]}" \
		-peer-secret-file "$work/peer.secret" -grace 10s -balancer-delay 500ms -list-lag 2s
}

# start_manager <index> starts a manager.
start_manager() {
	start "manager-$1" "$bin/lovagedyke" manager -name "manager-$1" -host "entry-host-$1" -data-centre "dc-$1" \
		-operator-address "${addr[operator-$1]}" -peer-address "${addr[manager-peer-$1]}" \
		-operations-address "${addr[manager-ops-$1]}" -platform-address "${addr[platform]}" \
		-peer-secret-file "$work/peer.secret" -operator-key-file "$work/operator.key" \
		-grace 10s -balancer-delay 500ms -list-lag 2s
}

ready() { curl -sf "http://${addr[$1]}/readyz"; }

# load <name> <flags...> starts the load tool, which writes its report to
# $work/<name>.json.
load() {
	local name=$1
	shift
	"$bin/lovagedyke-standin" load -target "${addr[caller-1]}" -probe "${addr[entry-ops-1]}" \
		-target "${addr[caller-2]}" -probe "${addr[entry-ops-2]}" -target "${addr[caller-3]}" -probe "${addr[entry-ops-3]}" \
		"$@" >"$work/$name.json" 2>"$work/$name.err" &
	pids+=($!)
	printf '%s' $! >"$work/$name.pid"
}

# await <load name>... waits for loads to end and fails if one of them failed.
await() {
	local name
	for name in "$@"; do
		if ! wait "$(cat "$work/$name.pid")"; then
			say "load $name failed"
			cat "$work/$name.err"
			exit 1
		fi
	done
}

ctl() { "$bin/lovagedyke" "$@"; }

say "start the platform, endpoints, three entries and three managers"
head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/peer.secret"
head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/operator.key"
reserve platform
for i in 1 2 3 4; do reserve "orders-$i" "bookings-$i"; done
reserve orders-5 worker-1 worker-2
for i in 1 2 3; do
	reserve "caller-$i" "entry-peer-$i" "entry-ops-$i" "operator-$i" "manager-peer-$i" "manager-ops-$i"
done
start platform "$bin/lovagedyke-standin" platform -listen "${addr[platform]}" -list-lag 1s
eventually 5 "the platform" curl -sf "http://${addr[platform]}/hosts"
for i in 1 2 3; do list_host "entry-host-$i" "{\"data-centre\":\"dc-$i\",\"state\":\"live\"}"; done
for service in orders bookings; do
	for i in 1 2 3 4; do
		start "$service-$i" "$bin/lovagedyke-standin" endpoint -listen "${addr[$service-$i]}" -name "$service-$i" -service "$service" -run-time 5ms
		endpoint_host "$i" "$service" live
	done
done
for i in 1 2; do
	start "worker-$i" "$bin/lovagedyke-standin" worker -listen "${addr[worker-$i]}" -name "host-worker-$i"
	list_host "host-worker-$i" "{\"data-centre\":\"dc-$i\",\"rack\":\"rack-9\",\"pool\":\"plans\",\"state\":\"live\",\"endpoints\":[{\"service\":\"worker\",\"address\":\"${addr[worker-$i]}\",\"slots\":16,\"connections\":64}]}"
done
for i in 1 2 3; do
	start_entry "$i"
	start_manager "$i"
done
for i in 1 2 3; do
	eventually 10 "entry $i" ready "entry-ops-$i"
	eventually 10 "manager $i" ready "manager-ops-$i"
done

export LOVAGEDYKE_MANAGER=${addr[operator-1]},${addr[operator-2]},${addr[operator-3]}
export LOVAGEDYKE_OPERATOR_KEY_FILE=$work/operator.key
say "apply the catalogue and issue keys to two teams"
eventually 5 "the managers to accept the catalogue" ctl catalogue apply -wait 5s test/demo.ini
tackle=$(ctl key give -wait 5s tackle)
charters=$(ctl key give -wait 5s charters)
spare=$(ctl key give -wait 5s tackle)
sleep 1.5

say "start load from both teams; idempotent requests go through two entries at once"
load tackle -service orders -key "$tackle" -rate 400 -duration 24s -body 200 -deadline 3s -concurrency 64
load charters -service bookings -key "$charters" -rate 300 -duration 24s -body 200 -deadline 3s -concurrency 64
load marked -service orders -key "$tackle" -rate 40 -duration 24s -body 100 -marked -copies 2 -deadline 3s
load withdrawn -service orders -key "$spare" -rate 100 -duration 12s -deadline 3s
sleep 3

say "submit tasks, every third one through two entries"
# submit <entry> <key> submits a task under an idempotency key.
submit() {
	curl -sf -X POST "http://${addr[caller-$1]}/plans/tasks" -H "Authorization: Bearer $charters" \
		-H "Idempotency-Key: $2" -d '{"cpus":1,"memory":1048576,"run-time":"300ms"}' >>"$work/tasks.json"
}
tasks=24
for ((i = 1; i <= tasks; i++)); do
	submit 1 "plan-$i"
	[ $((i % 3)) -ne 0 ] || submit 3 "plan-$i"
done

say "withdraw a key under load"
spare_id=${spare#lk_}
spare_id=${spare_id%%_*}
ctl key withdraw "$spare_id"
withdrawn_at=$(date -u +%Y-%m-%dT%H:%M:%S.%NZ)

say "replace an entry gracefully under load"
stop entry-2
start_entry 2
eventually 10 "entry 2 again" ready entry-ops-2

say "replace an endpoint gracefully under load"
endpoint_host 4 orders leaving
start orders-5 "$bin/lovagedyke-standin" endpoint -listen "${addr[orders-5]}" -name orders-5 -service orders -run-time 5ms
endpoint_host 5 orders live
sleep 3

say "take the platform down for ten seconds under load"
curl -sf -X PUT "http://${addr[platform]}/faults" -d '{"down":true}' >/dev/null
sleep 10
curl -sf -X PUT "http://${addr[platform]}/faults" -d '{}' >/dev/null

say "fetch the tasks' results"
for id in $(grep -o '"id":"[0-9a-f]*"' "$work/tasks.json" | cut -d'"' -f4 | sort -u); do
	curl -sf "http://${addr[caller-1]}/plans/tasks/$id?wait=10s" -H "Authorization: Bearer $charters" | grep -q '"state":"done"' ||
		{ say "task $id is not done"; exit 1; }
	curl -sf "http://${addr[caller-3]}/plans/tasks/$id/result" -H "Authorization: Bearer $charters" >/dev/null
done

await tackle charters marked withdrawn
sleep 2

say "check the results against the counts of the endpoints"
endpoints=()
for i in 1 2 3 4; do endpoints+=(-endpoint "${addr[orders-$i]}" -endpoint "${addr[bookings-$i]}"); done
endpoints+=(-endpoint "${addr[orders-5]}")
status=0
"$bin/lovagedyke-standin" report -platform "${addr[platform]}" "${endpoints[@]}" \
	-worker "${addr[worker-1]}" -worker "${addr[worker-2]}" \
	-load tackle="$work/tackle.json" -load charters="$work/charters.json" \
	-load marked="$work/marked.json" -load withdrawn="$work/withdrawn.json" \
	-withdrawn "withdrawn=$withdrawn_at" -limit tackle=40 -limit charters=20 || status=$?
if [ "${KEEP:-}" ]; then
	cp -r "$work" "$KEEP"
fi
exit "$status"
