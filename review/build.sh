#!/bin/sh
# Builds the program that the scripts start: the stand-ins of platform, engines, network and clients.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/drill ./review/drill
