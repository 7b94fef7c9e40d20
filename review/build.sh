#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o review/bin/standin ./review/standin
