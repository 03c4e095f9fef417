#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the programs of the deploy file: their stand-ins run as they are, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins-3/*.mjs review/1[1-5]/*.mjs; do
	node --check "$file"
done
