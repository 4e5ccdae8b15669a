#!/usr/bin/env bash
# Model-checks the designs exhaustively. The designs must pass; each deliberately broken variant must fail.
set -eu
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

check() { # model variant expected: pass or caught
  model=$PWD/$1.pml
  (cd "$work" && spin -a $2 "$model" >spin.out && gcc -w -O2 -DSAFETY -DCOLLAPSE -o pan pan.c && ./pan -m1000000 >out 2>&1) || { echo "$1 $2: cannot be built"; exit 1; }
  grep -q 'error: max search depth' "$work/out" && { echo "$1 $2: not exhaustive"; exit 1; }
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/out")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/out")
  verdict=pass
  [ "$errors" = 0 ] || verdict=caught
  echo "$1 ${2:-as designed}: $verdict ($states states)"
  [ "$verdict" = "$3" ] || { echo "expected: $3"; exit 1; }
}

check claim '' pass
for v in NOCLAIM TAKEOVER GUESS LOOSE; do check claim "-D$v" caught; done
check log '' pass
for v in KEEPID EARLY OLDTERM; do check log "-D$v" caught; done
check steer '' pass
check steer '-DFOUR' pass
for v in '-DFOUR -DNOTERM' -DTWO -DREFOUND; do check steer "$v" caught; done
check relay '' pass
for limit in 1 3; do check relay "-DLIMIT=$limit" pass; done
for v in NOLEASE RETURN ANYNODE TRUST PROMISE COUNT; do check relay "-D$v" caught; done
check proof '' pass
for v in RECEIPT NOQUORUM NOAGE NOTABLE STOPPED SWAP KEPT; do check proof "-D$v" caught; done
echo "models: all as expected"
