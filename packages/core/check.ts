import * as valibot from 'valibot';
import type {CheckResult, Finding} from './types.js';

/**
Formats a path of object keys and array indexes.

@example
```
formatPlace(['allowances', 3, 'count']);
//=> 'allowances[3].count'
```
*/
export function formatPath(path: readonly unknown[]): string {
	let place = '';
	for (const key of path) {
		if (typeof key === 'number') {
			place += `[${key}]`;
		} else {
			place += place === '' ? String(key) : `.${String(key)}`;
		}
	}

	return place;
}

/**
Checks unknown input against a schema and collects every finding with its place.

@param root - Name of the input as a whole, used where a finding has no path.
*/
export function checkInput<Schema extends valibot.GenericSchema>(schema: Schema, input: unknown, root = 'body'): CheckResult<valibot.InferOutput<Schema>> {
	const result = valibot.safeParse(schema, input);
	if (result.success) {
		return {kind: 'valid', value: result.output};
	}

	return {kind: 'invalid', findings: result.issues.map(issue => findingOf(issue, root))};
}

function findingOf(issue: valibot.BaseIssue<unknown>, root: string): Finding {
	const path = issue.path?.map(item => item.key) ?? [];
	return {place: path.length === 0 ? root : formatPath(path), message: issue.message};
}
