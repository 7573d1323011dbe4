#!/bin/sh
# Builds the stand-ins of the second review. The program under test is built by the command of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review/rig ./review/rig
