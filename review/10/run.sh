#!/usr/bin/env bash
# Plays the case on real processes. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/turmericfield ] && [ -x ../../target/review-harness-2 ] || { echo "build the product and run review/build-2.sh first"; exit 2; }
exec ../../target/review-harness-2 cold-again ../../target/turmericfield record.txt
