/** Generates the pages that describe schemas, so that they stay in step with the code. */
import {writeFile} from 'node:fs/promises';
import {formatRefusals} from './docs/refusals.js';
import {formatSettings} from './docs/settings.js';

await writeFile('docs/refusals.md', formatRefusals());
await writeFile('docs/settings.md', formatSettings());
