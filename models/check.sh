#!/usr/bin/env bash
# Verifies each model exhaustively with spin, then each of its mutants, in which
# spin must find an error. Prints one line per run; an unexpected result fails.
set -euo pipefail
cd "$(dirname "$0")"
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
status=0

# search MODEL [DEFINE...]: prints the numbers of states and errors, and
# "incomplete" if the search reached its depth limit.
search() {
  local model=$1
  shift
  local dir
  dir=$(mktemp -d -p "$WORK")
  (
    cd "$dir"
    spin -a "${@/#/-D}" "$OLDPWD/$model.pml" >spin.log
    gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c 2>gcc.log
    ./pan -E -n -m200000 >pan.log
    sed -nE 's/ +([0-9.e+]+) states, stored.*/\1/p' pan.log
    sed -nE 's/.*errors: ([0-9]+).*/\1/p' pan.log
    grep -q 'max search depth too small' pan.log && echo incomplete || true
  ) | tr '\n' ' '
}

# report EXPECTED MODEL [DEFINE...]: EXPECTED is "holds" or "broken".
report() {
  local expected=$1
  shift
  local states errors rest verdict=WRONG
  read -r states errors rest <<<"$(search "$@")"
  if [ -z "$rest" ]; then
    [ "$expected" = holds ] && [ "$errors" = 0 ] && verdict=ok
    [ "$expected" = broken ] && [[ "$errors" =~ ^[1-9] ]] && verdict=ok
  fi
  [ "$verdict" = ok ] || status=1
  echo "$* ($expected): $states states, $errors errors $rest: $verdict"
}

mutants() {
  grep -oE 'MUTANT_[A-Z_]+' "$1.pml" | sort -u
}

report holds start
report holds start TWO_CREDITS
report holds start TWO_TASKS
for mutant in $(mutants start); do
  # A refusal can only be mistaken for another if an agent has two credits.
  bound=()
  [ "$mutant" = MUTANT_REFUSAL_NOT_MATCHED ] && bound=(TWO_CREDITS)
  report broken start "$mutant" "${bound[@]}"
done
for model in claim configuration drain evacuation forward; do
  report holds "$model"
  for mutant in $(mutants "$model"); do
    report broken "$model" "$mutant"
  done
done
report holds run
report holds run TWO_TASKS
for mutant in $(mutants run); do
  report broken run "$mutant"
done
report holds lease
report holds lease CHAIN
for mutant in $(mutants lease); do
  report broken lease "$mutant" CHAIN
done
exit $status
