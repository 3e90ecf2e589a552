#!/bin/sh
# Builds the stand-ins that review/6 to review/10 start. They are Python, the project's own ones in process_tests included, so
# that there is nothing to compile: this checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review:process_tests python3 -c 'import fleet_2, harness, platform_standins'
