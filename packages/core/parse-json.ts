import VError from 'verror';

/** Deepest nesting of a value from outside. The messages of this project and of its platforms have at most eight levels; writing a value with thousands of levels to a log overflows the stack. */
export const maximumNestingDepth = 64;

/** Thrown for text whose value is nested too deeply. */
export class NestingError extends VError {
	constructor() {
		super({name: 'NestingError'}, 'value has more than %d levels', maximumNestingDepth);
	}
}

/**
Parses JSON from outside the process.

@throws {SyntaxError} If the text is not JSON.
@throws {NestingError} If the value is nested too deeply.

@example
```
parseJson('{"version":3}');
//=> {version: 3}
```
*/
export function parseJson(text: string): unknown {
	const value: unknown = JSON.parse(text);
	if (isDeeperThan(value, maximumNestingDepth)) {
		throw new NestingError();
	}

	return value;
}

/** Goes through the value level by level, since recursion would overflow the stack. */
function isDeeperThan(value: unknown, depth: number): boolean {
	let level: readonly unknown[] = [value];
	for (let remaining = depth; level.length > 0; remaining--) {
		if (remaining < 0) {
			return true;
		}

		level = level.flatMap(item => typeof item === 'object' && item !== null ? Object.values(item) : []);
	}

	return false;
}
