#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it in the root of the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
(cd review/rig && go build -o ../../target/review/rig .)
