#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off go build -o ../bin/standin .
