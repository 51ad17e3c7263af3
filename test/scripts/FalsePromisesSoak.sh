#!/usr/bin/env bash
# Replicas fail after they ran a request, answer twice and lose answers: real gateway processes, two seeds.
set -euo pipefail
cd "$(dirname "$0")/../.."
for seed in 1 2; do
  echo "seed $seed"
  build/test/hallchute-gateway-soak build refusals --seed "$seed" --seconds 14
done
