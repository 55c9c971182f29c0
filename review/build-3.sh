#!/bin/sh
# Builds the program of the cases in review/11 to review/15: it has the stand-ins that their
# scripts start. The deploy file's build comes before.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3-harness ./review/harness3
