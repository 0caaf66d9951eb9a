#!/usr/bin/env bash
# Builds the programs that the cases' scripts start, the stand-ins among them.
set -eu
cd "$(dirname "$0")/.."
exec go build -o review/bin/ ./review/cmd/...
