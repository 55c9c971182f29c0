#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the product: one program with
# the store (platform/standin), the backends and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-harness-2 ./review/harness2
