#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code from the .proto files.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
for dir in *pb; do
  PATH="$bin:$PATH" protoc -I. --go_out=. --go_opt=paths=source_relative \
    --go-grpc_out=. --go-grpc_opt=paths=source_relative "$dir"/*.proto
done
