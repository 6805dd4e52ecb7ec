#!/bin/sh
# Builds the stand-ins of the cases into review/bin: a catalogue server, discovery, clients and the platform, in one program that
# uses the standard library alone. Run it after the build line of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/testdata/standin"
mkdir -p ../../bin
GOPROXY=off GOTOOLCHAIN=local go build -o ../../bin/standin .
