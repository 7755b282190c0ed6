#!/bin/sh
# Builds what the scripts of cases 6 to 10 start. Run it after the build of the deploy file; it needs the Go tool chain and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin/second
for n in 6 7 8 9 10; do
  if [ -f "$n/main.go" ]; then
    CGO_ENABLED=0 go build -o "bin/second/case$n" "./$n"
  fi
done
