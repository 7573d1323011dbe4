#!/usr/bin/env bash
# Builds the program that the scripts of this folder run, next to the one that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/cell ./review/cell
