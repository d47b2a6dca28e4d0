#!/bin/sh
# Builds the stand-ins that the cases review/6 to review/10 start. It runs after the build of the deploy file. The tag keeps them
# out of the default build, vet and test runs.
set -e
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o bin/pierlab ./cmd/pierlab
CGO_ENABLED=1 go build -tags review -o bin/review-2 ./review/stand-2
