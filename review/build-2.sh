#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/drill2
