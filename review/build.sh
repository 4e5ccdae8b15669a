#!/bin/sh
# Builds the stand-ins of the scripts in this folder, without a network.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../bin/standin .
