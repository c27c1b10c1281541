#!/bin/bash
# Builds the stand-ins of the scripts: the platform, its workers and the clients.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/standins ./review/standins
