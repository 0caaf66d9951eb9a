#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/stand2/bin
go build -o review/stand2/bin/ ./review/stand2/cmd/...
