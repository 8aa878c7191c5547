#!/usr/bin/env bash
# Generates the twirp and protobuf code into the directory given, by default
# this one. It needs protoc, protoc-gen-go and protoc-gen-twirp on PATH.
set -euo pipefail
cd "$(dirname "$0")"
out=${1:-.}
mkdir -p "$out"
protoc --go_out="$out" --go_opt=paths=source_relative \
  --twirp_out="$out" --twirp_opt=paths=source_relative \
  agent.proto peer.proto frame.proto
# The compiler's release is not part of the interface.
sed -i -e '/^\/\/ \(- \)\?\t\?protoc/d' -e '/^\/\/ versions:/d' "$out"/*.pb.go
