#!/bin/bash
# Plays this case; TROUBLE=0 leaves the disruption out. Status 1: the rule was broken, 0: it held, 2: could not run.
cd "$(dirname "$0")" || exit 2
number=$(basename "$PWD")
classes=../../target/review-2
[ -f "$classes/Case$number.class" ] || { echo "run review/build-2.sh first"; exit 2; }
exec java -Xmx512m -cp "$classes" "Case$number" "$PWD"
