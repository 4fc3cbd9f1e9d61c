#!/bin/bash
# Plays this case; TROUBLE=0 leaves the disruption out. Status 1: the rule was broken, 0: it held, 2: could not run.
cd "$(dirname "$0")" || exit 2
number=$(basename "$PWD")
classes=../../target/review-2
rm -f record.txt
[ -f "$classes/Case$number.class" ] || { echo "run review/build-2.sh first"; exit 2; }
java -Xmx512m -cp "$classes" "Case$number" "$PWD" &
player=$!
trap 'kill "$player"; wait "$player"; exit 2' TERM INT HUP
wait "$player"
status=$?
# A virtual machine that fails by itself ends with 1 as well.
if [ "$status" != 0 ] && ! grep -q 'verdict: broken$' record.txt; then
    exit 2
fi
exit "$status"
