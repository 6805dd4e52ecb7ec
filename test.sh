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
# Tests that draw what they try draw the same each time here, so that one commit has one verdict; by hand they draw anew.
drawn=$(go list $(grep -rl pgregory.net/rapid --include='*_test.go' brain cmd internal | xargs -n1 dirname | sort -u | sed 's,^,./,'))
others=$(go list ./... | grep -vxF "$drawn")
CGO_ENABLED=1 go test -race -count=1 -timeout 300s $others
CGO_ENABLED=1 go test -race -count=1 -timeout 300s $drawn -rapid.seed=1
