#!/usr/bin/env bash
# Runs every fuzz target for FUZZTIME, and the property tests with CHECKS checks
# and a random seed (or SEED). Exits with 1 if any of them fails.
set -euo pipefail
cd "$(dirname "$0")/.."

fuzztime=${FUZZTIME:-20s}
checks=${CHECKS:-2000}
seed=${SEED:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}
timeout=${TIMEOUT:-30m}
failed=()
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
skip=()
if [ -n "$known_red" ]; then
	echo "passed over, known red: $known_red"
	skip=(-skip "$known_red")
fi

# fuzz_targets prints "<package> <target>" for every native Go fuzz target.
fuzz_targets() {
	git grep -o -E '^func Fuzz[A-Za-z0-9_]+\(f \*testing\.F\)' -- '*_test.go' |
		sed -E 's|^(.*)/[^/]+:func (Fuzz[A-Za-z0-9_]+).*|./\1 \2|' | sort -u
}

while read -r package target; do
	echo "== $package $target, $fuzztime"
	go test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "$fuzztime" || failed+=("$package $target")
done < <(fuzz_targets)

mapfile -t packages < <(git grep -l '"pgregory.net/rapid"' -- '*_test.go' | xargs -n1 dirname | sort -u | sed 's|^|./|')
for package in "${packages[@]}"; do
	echo "== $package, properties, $checks checks, seed $seed"
	go test "$package" -timeout "$timeout" "${skip[@]}" -rapid.checks="$checks" -rapid.seed="$seed" -rapid.nofailfile ||
		failed+=("$package -rapid.checks=$checks -rapid.seed=$seed")
done

if ((${#failed[@]})); then
	printf 'found a failure: %s\n' "${failed[@]}"
	exit 1
fi
echo "nothing found, seed $seed"
