#!/bin/sh
# Builds, then checks form, likely mistakes and behaviour. README.md names this as the test command.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./cmd/...
unformatted=$(gofmt -l brain cmd internal)
if [ -n "$unformatted" ]; then
    echo "gofmt wants changes in: $unformatted"
    exit 1
fi
go vet ./...
CGO_ENABLED=1 go test -race -count=1 -timeout 300s ./...
