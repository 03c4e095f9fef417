import {
	isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import {validateLists, type Lists} from '#configuration';
import {checkInput, type Finding} from '#core';
import * as valibot from 'valibot';
import {BadInputError, formatFinding} from './errors.js';

/** The two lists as read from a file, with their base revision if the file names it. */
export type ListsFile = Readonly<{
	lists: Lists;
	base: number | undefined;
	/** Formats a finding with file, line and path. */
	locate(finding: Finding): string;
}>;

const baseSchema = valibot.object({revision: valibot.optional(valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(0)))});

/**
Reads the two lists from YAML or JSON text.

@throws {BadInputError} with every finding, each with file, line and path.
*/
export function readListsFile(file: string, text: string): ListsFile {
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter});
	if (document.errors.length > 0) {
		throw new BadInputError(document.errors.map(({message, linePos}) => `${file}:${linePos?.[0].line ?? 1}: ${message.split('\n')[0]}`));
	}

	const input: unknown = document.toJS();
	const locate = ({place, message}: Finding) => `${file}:${findLine(document, lineCounter, place)}: ${formatFinding({place, message})}`;
	const base = checkInput(baseSchema, input, 'lists');
	const checked = validateLists(removeFileFields(input));
	if (checked.kind === 'valid' && base.kind === 'valid') {
		return {lists: checked.value, base: base.value.revision, locate};
	}

	const findings = [...(checked.kind === 'invalid' ? checked.findings : []), ...(base.kind === 'invalid' ? base.findings : [])];
	throw new BadInputError([...new Set(findings.map(finding => locate(finding)))]);
}

/** Removes the fields of a file that are not lists: its base revision and the schema for its editor. */
function removeFileFields(input: unknown): unknown {
	if (typeof input !== 'object' || input === null || Array.isArray(input)) {
		return input;
	}

	return Object.fromEntries(Object.entries(input).filter(([key]) => key !== 'revision' && key !== '$schema'));
}

/** Finds the line of a place, or of its nearest enclosing element in the file. */
function findLine(document: Document, lineCounter: LineCounter, place: string): number {
	const path = parsePlace(place);
	for (let {length} = path; length > 0; length--) {
		const node = document.getIn(path.slice(0, length), true);
		if (isNode(node) && node.range) {
			return lineCounter.linePos(node.range[0]).line;
		}
	}

	return 1;
}

/**
Parses the place of a finding into a path.

@example
```
parsePlace('allowances[3].count');
//=> ['allowances', 3, 'count']
```
*/
export function parsePlace(place: string): ReadonlyArray<string | number> {
	return [...place.matchAll(/\[(\d+)]|([^.[\]]+)/g)].map(([, index, key]) => index === undefined ? key ?? '' : Number(index));
}
