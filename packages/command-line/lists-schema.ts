import {toJsonSchema} from '@valibot/to-json-schema';
import * as valibot from 'valibot';
import {listsSchema} from '#configuration';

/** JSON Schema of the file with the two lists, for editors. Rules across elements are checked by `validate` only. */
export function createListsSchema(): unknown {
	const schema = toJsonSchema(valibot.strictObject({
		$schema: valibot.optional(valibot.string()),
		/** Revision that the file was made from. */
		revision: valibot.optional(valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(0))),
		...listsSchema.entries,
	}), {typeMode: 'input', errorMode: 'ignore'});
	return {...schema, title: 'Plans and allowances of dotterelnotch'};
}
