#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use the standard library only.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target && go build -o target/standin2 ./review/standin2
