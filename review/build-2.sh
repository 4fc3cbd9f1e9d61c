#!/bin/bash
# Builds the cases 6 to 10 and their stand-ins into target/review-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
find review/lib-2 review/6 review/7 review/8 review/9 review/10 -name '*.java' -exec \
    javac --release 17 -Xlint:all -d target/review-2 {} +
