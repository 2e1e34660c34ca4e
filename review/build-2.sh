#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/bin. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../bin
GOWORK=off go build -o ../bin/standin-2 .
