#!/bin/sh
# Builds the programs of the scripts into review/bin. Run it in the repository's root,
# after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for case in review/cases/*/; do
    go build -o "review/bin/$(basename "$case")" "./$case"
done
