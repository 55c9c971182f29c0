#!/usr/bin/env bash
# Generates the Go code beside the .proto files, which is committed. Needs protoc.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
for dir in *pb; do
  PATH="$bin:$PATH" protoc -I. --go_out=. --go_opt=paths=source_relative \
    --go-grpc_out=. --go-grpc_opt=paths=source_relative "$dir"/*.proto
done
