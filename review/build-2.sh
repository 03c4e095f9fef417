#!/usr/bin/env bash
# Checks the stand-ins that the cases 6 to 10 start. They are plain modules that run as they are; the programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs; do
	node --check "$file"
done
