#!/usr/bin/env bash
# Checks every model under model/ with spin. <name>.pml must verify without an
# error; <name>-broken-<rule>.pml disables one rule and must yield a violation.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build

# A model takes up to 2 GB.
parallel_checks=3

# check prints the verdict on one model.
check() {
	name=${1%.pml}
	work=build/$name
	rm -rf "$work"
	mkdir -p "$work"
	(cd "$work" && spin -a "../../$1" >spin.log && gcc -O2 -DSAFETY -DCOLLAPSE -o pan pan.c 2>gcc.log && ./pan -m1000000 -w24 >pan.log 2>&1) || true
	errors=$(sed -nE 's/.*errors: ([0-9]+).*/\1/p' "$work/pan.log" 2>/dev/null || true)
	incomplete=$(grep -c 'Search not completed\|max search depth too small\|out of memory' "$work/pan.log" 2>/dev/null || true)
	states=$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' "$work/pan.log" 2>/dev/null || true)
	case $name in
	*-broken-*)
		if [ "${errors:-0}" -ge 1 ]; then
			echo "model $name: violation found, as it must be"
			return
		fi
		echo "model $name: no violation found, although a rule is taken out"
		;;
	*)
		if [ "${errors:-x}" = 0 ] && [ "${incomplete:-0}" = 0 ]; then
			echo "model $name: verified, $states states"
			return
		fi
		echo "model $name: errors ${errors:-unknown}, incomplete searches ${incomplete:-unknown}"
		;;
	esac
	touch "$work/failed"
}
export -f check

printf '%s\n' *.pml | xargs -P "$parallel_checks" -I{} bash -euo pipefail -c 'check {}'
checked=$(printf '%s\n' *.pml | wc -l)
failed=$(find build -name failed | wc -l)
echo "models: $((checked - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
