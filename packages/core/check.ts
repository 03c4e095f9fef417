import * as valibot from 'valibot';
import type {CheckResult, Finding} from './types.js';

/**
Formats a path of object keys and array indices.

@example
```
formatPath(['allowances', 3, 'count']);
//=> 'allowances[3].count'
```
*/
export function formatPath(path: readonly unknown[]): string {
	let formatted = '';
	for (const key of path) {
		if (typeof key === 'number') {
			formatted += `[${key}]`;
		} else {
			formatted += formatted === '' ? String(key) : `.${String(key)}`;
		}
	}

	return formatted;
}

/**
Validates unknown input against a schema and collects all findings with their paths.

@param root - Name of the whole input, used for findings without a path.
*/
export function checkInput<Schema extends valibot.GenericSchema>(schema: Schema, input: unknown, root = 'body'): CheckResult<valibot.InferOutput<Schema>> {
	const first = valibot.safeParse(schema, input, {abortEarly: true});
	if (first.success) {
		return {kind: 'valid', value: first.output};
	}

	const issues = hasMoreValues(input, maximumCheckedValues) ? first.issues : valibot.safeParse(schema, input).issues;
	return {kind: 'invalid', findings: (issues ?? first.issues).slice(0, maximumFindings).map(issue => createFinding(issue, root))};
}

/** Values of an input above which only its first finding is reported. Each finding takes some 500 bytes, and 500,000 wrong values fit in a body of 1 MB. */
const maximumCheckedValues = 20_000;
const maximumFindings = 2000;

function hasMoreValues(input: unknown, maximum: number): boolean {
	const pending: unknown[] = [input];
	let count = 0;
	while (pending.length > 0) {
		const value = pending.pop();
		const members = typeof value === 'object' && value !== null ? Object.values(value) : [];
		count += members.length;
		if (count > maximum) {
			return true;
		}

		pending.push(...members);
	}

	return false;
}

function createFinding(issue: valibot.BaseIssue<unknown>, root: string): Finding {
	const path = issue.path?.map(segment => segment.key) ?? [];
	return {place: path.length === 0 ? root : formatPath(path), message: issue.message};
}
