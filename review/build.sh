#!/usr/bin/env bash
# Builds the cases with their stand-ins into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/*/case.mjs --bundle --platform=node --target=node20 --format=esm \
	--banner:js="import {createRequire} from 'node:module';const require = createRequire(import.meta.url);" \
	--out-extension:.js=.mjs --outbase=review --outdir=target/review --log-level=warning
