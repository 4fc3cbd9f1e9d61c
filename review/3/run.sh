#!/bin/sh
# Plays the case; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -d ../build ] && [ -f "$root/target/cairnbridge.jar" ] || exit 2
exec java -Xmx1g -cp ../build LargeFleet "$root" "$(pwd)"
