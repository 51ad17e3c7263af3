#!/usr/bin/env bash
# Daemons are stopped, killed and suspended over and over: real gateway processes, their output read or not.
set -euo pipefail
cd "$(dirname "$0")/../.."
build/test/hallchute-gateway-soak build stops --seed 1
build/test/hallchute-gateway-soak build stops --seed 2 --unread
