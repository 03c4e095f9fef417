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

/** Thrown for text that holds more values than its reader accepts. */
export class ValueCountError extends VError {
	constructor(maximum: number) {
		super({name: 'ValueCountError'}, 'text holds more than %d values', maximum);
	}
}

/**
Parses JSON like `parseJson`, and counts its values before they are made: a text of 1 MB holds 349,000 empty objects, which take 20 MB and several times that while they are checked.

@throws {ValueCountError} If there are more values than the maximum.
*/
export function parseBoundedJson(text: string, maximumValues: number): unknown {
	if (hasMoreValues(text, maximumValues)) {
		throw new ValueCountError(maximumValues);
	}

	return parseJson(text);
}

/** Each value but the first of its array or object follows a comma, and the first one an opening bracket. */
function hasMoreValues(text: string, maximum: number): boolean {
	let count = 0;
	let isInString = false;
	for (let index = 0; index < text.length && count <= maximum; index++) {
		const character = text[index];
		if (isInString) {
			if (character === '\\') {
				index++;
			} else if (character === '"') {
				isInString = false;
			}
		} else if (character === '"') {
			isInString = true;
		} else if (character === ',' || character === '[' || character === '{') {
			count++;
		}
	}

	return count > maximum;
}
