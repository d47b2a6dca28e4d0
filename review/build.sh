#!/bin/sh
# Builds the stand-ins of the review's cases: one program, from the standard library alone.
set -e
cd "$(dirname "$0")/stand"
mkdir -p ../bin
go build -o ../bin/stand .
