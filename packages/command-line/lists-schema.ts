import {toJsonSchema} from '@valibot/to-json-schema';
import * as valibot from 'valibot';
import {listsSchema} from '#configuration';

/** JSON Schema of the file with the two lists, for editors. Only `validate` checks the rules that span several elements. */
export function createListsSchema(): unknown {
	const schema = toJsonSchema(valibot.strictObject({
		$schema: valibot.optional(valibot.string()),
		/** Base revision of the file. */
		revision: valibot.optional(valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(0))),
		...listsSchema.entries,
	}), {typeMode: 'input', errorMode: 'ignore'});
	return {...schema, title: 'Plans and allowances of dotterelnotch'};
}
