#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin-2 ./review/standin2
