#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. It needs the Go toolchain only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for f in review/stand-2/*.go.txt; do
	cp "$f" "$folder/$(basename "$f" .txt)"
done
printf 'module stand\n\ngo 1.26\n' >"$folder/go.mod"
out=$PWD/target/review-2
mkdir -p "$out"
(cd "$folder" && GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o "$out/stand" .)
