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
	const result = valibot.safeParse(schema, input);
	if (result.success) {
		return {kind: 'valid', value: result.output};
	}

	return {kind: 'invalid', findings: result.issues.map(issue => createFinding(issue, root))};
}

function createFinding(issue: valibot.BaseIssue<unknown>, root: string): Finding {
	const path = issue.path?.map(segment => segment.key) ?? [];
	return {place: path.length === 0 ? root : formatPath(path), message: issue.message};
}
