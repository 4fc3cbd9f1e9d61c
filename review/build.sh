#!/bin/sh
# Compiles the stand-ins of all cases; they need the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac --release 17 -Xlint:all -d build src/*.java
