#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. The program under test is built as
# deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-bed2 ./review/bed2
