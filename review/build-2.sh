#!/bin/bash
# Builds the cases 6 to 10 and their stand-ins into target/review-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/lib-2/*.java review/[6-9]/*.java review/10/*.java
