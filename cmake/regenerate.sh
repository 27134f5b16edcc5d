#!/usr/bin/env bash
# Regenerates src/gen from proto/*.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=src/gen proto/*.proto
