#!/usr/bin/env bash
# Verifies the models in this directory with spin, a model checker that explores all
# interleavings of a model's processes. Each model's assertions must hold. Each model
# also has variants, which leave out one safety rule (#ifdef BROKEN_...). In each of
# them an assertion must fail, which shows that the assertions depend on the rule.
#
# Prints a line for each model and variant, and exits 1 if one has the wrong outcome.
set -euo pipefail
cd "$(dirname "$0")"
spec=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# explore MODEL [VARIANT]: verifies a model or a variant of it. Prints "holds, N states",
# "fails", or "incomplete" if a limit ended the search.
explore() {
  local model=$1 dir="$work/$1-${2:-sound}"
  mkdir "$dir"
  (
    cd "$dir"
    spin -a ${2:+-D"$2"} "$spec/$model.pml" > spin.txt
    cc -w -O2 -DSAFETY -DMEMLIM=1024 -o pan pan.c
    # -n: no list of unreached code. -E: a process that waits for ever is not an error,
    # since only the assertions matter here. -m: largest depth of the search.
    ./pan -n -E -m200000 > pan.txt 2>&1 || true
    if grep -q 'errors: [1-9]' pan.txt && grep -q 'assertion violated' pan.txt; then
      echo fails
    elif grep -q 'errors: 0' pan.txt && ! grep -q 'not completed\|depth too small\|truncated' pan.txt; then
      echo "holds, $(awk '/states, stored/ {print $1; exit}' pan.txt) states"
    else
      echo incomplete
    fi
  )
}

status=0
for file in *.pml; do
  model=${file%.pml}
  outcome=$(explore "$model")
  echo "$model: $outcome"
  [[ $outcome == holds* ]] || status=1
  for variant in $(grep -o '#if[n]*def BROKEN_[A-Z_]*' "$file" | awk '{print $2}' | sort -u); do
    outcome=$(explore "$model" "$variant")
    echo "$model with $variant: $outcome"
    [[ $outcome == fails ]] || status=1
  done
done
exit $status
