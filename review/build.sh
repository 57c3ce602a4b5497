#!/bin/bash
# Builds the stand-ins and consumers that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/lab"
mkdir -p ../../target/review
go build -buildvcs=false -o ../../target/review/lab .
