#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/. It needs no network.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target && go test -c -o target/standin2 ./review/standin2
