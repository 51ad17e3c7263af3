#!/usr/bin/env bash
# Sound upstreams fall silent and daemons are suspended beside changes and stops: real gateway processes, two seeds.
set -euo pipefail
cd "$(dirname "$0")/../.."
for seed in 1 2; do
  echo "seed $seed"
  build/test/hallchute-gateway-soak build silences --seed "$seed" --seconds 16
done
