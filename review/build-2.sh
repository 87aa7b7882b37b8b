#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2/stand2 ./review/_stand2
