/** Writes the pages that are made from schemas, so that they cannot drift. */
import {writeFile} from 'node:fs/promises';
import {formatRefusals} from './docs/refusals.js';
import {formatSettings} from './docs/settings.js';

await writeFile('docs/refusals.md', formatRefusals());
await writeFile('docs/settings.md', formatSettings());
