#!/bin/sh
# Builds the program that plays the scripted cases 6 to 10, with the stand-ins that they start.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/second-review/ ./review/drive
