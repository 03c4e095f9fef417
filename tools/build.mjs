import {readdir} from 'node:fs/promises';
import process from 'node:process';
import {build} from 'esbuild';

// Output folder of the bundles; the deploy file passes another one.
const [outdir = 'dist'] = process.argv.slice(2);

const files = await readdir('binaries');
const names = files.filter(name => name.endsWith('.ts'));

await build({
	entryPoints: names.map(name => `binaries/${name}`),
	outdir,
	bundle: true,
	minify: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	outExtension: {'.js': '.mjs'},
	// Optional native dependencies of the logging library.
	external: ['dtrace-provider', 'mv', 'source-map-support'],
	// The bundles are installed as commands.
	banner: {js: '#!/usr/bin/env node\nimport {createRequire} from \'node:module\';const require = createRequire(import.meta.url);'},
	logLevel: 'warning',
});
