#!/usr/bin/env bash
# Checks the specifications in model/ with spin. Each is searched in full without errors, and each
# mutation, which switches off one rule, must be found wrong.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
checked=0

# check NAME MODEL EXPECTED [MACRO]
check() {
  local name=$1 model=$2 expected=$3 macro=${4:-}
  local dir="$work/$name"
  mkdir -p "$dir"
  spin ${macro:+-D$macro} -a "-o3" "$model" >"$dir/spin.log" 2>&1 || true
  [ -f pan.c ] || { cat "$dir/spin.log"; echo "model $name: spin failed"; return 1; }
  mv pan.* "$dir/"
  cc -O2 -w -DSAFETY -o "$dir/pan" "$dir/pan.c"
  (cd "$dir" && timeout 240 ./pan -m1000000 -w25 >pan.log 2>&1) || true
  local states errors depth
  states=$(awk '/states, stored/ {print $1}' "$dir/pan.log" | head -1)
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.log")
  depth=$(grep -c 'max search depth too small' "$dir/pan.log" || true)
  if [ -z "$states" ] || [ -z "$errors" ] || [ "${states%.*}" = 0 ]; then
    tail -3 "$dir/pan.log"
    echo "model $name: the search did not finish"
    return 1
  fi
  if [ "$expected" = holds ] && { [ "$errors" != 0 ] || [ "$depth" != 0 ]; }; then
    echo "model $name: $errors errors, $states states; $(grep -m1 'pan:1' "$dir/pan.log")"
    return 1
  fi
  if [ "$expected" = fails ] && [ "$errors" = 0 ]; then
    echo "model $name: the mutation was not found ($states states)"
    return 1
  fi
  echo "model $name: $expected as expected, $states states"
  checked=$((checked + 1))
}

check home_form model/home_form.pml holds
for macro in FORGET_EARLY REFUSE_WITHOUT_RECORD RESEND_AFTER_RESET HAND_OVER_WITHOUT_SEALING; do
  check "home_form-$macro" model/home_form.pml fails "$macro"
done
check key_form model/key_form.pml holds
for macro in TAKE_OVER_EARLY SKIP_QUARANTINE NO_LEASE_CHECK FORGET_EARLY LAPSED_SAYS_NOT_RUN LATE_DELIVERY; do
  check "key_form-$macro" model/key_form.pml fails "$macro"
done
echo "models: $checked searches as expected"
