import {writeFile} from 'node:fs/promises';
import {createListsSchema} from '#command-line';

await writeFile('examples/lists.schema.json', `${JSON.stringify(createListsSchema(), undefined, '\t')}\n`);
