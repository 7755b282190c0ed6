#!/bin/sh
# Builds what the cases start beside the project's own programs. It needs nothing but the Go tool chain.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for case in [1-5]; do
	if [ -d "$case" ]; then
		GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o "bin/case$case" "./$case"
	fi
done
