import {BadInputError} from './errors.js';

/** @throws {BadInputError} if the argument is missing. */
export function requireArgument(commandArguments: readonly string[], index: number, name: string): string {
	const argument = commandArguments[index];
	if (argument === undefined) {
		throw new BadInputError([`<${name}>: is required`]);
	}

	return argument;
}

/** @throws {BadInputError} if the flag is given and is not a whole number. */
export function readWholeNumber(options: Readonly<Record<string, unknown>>, flag: string): number | undefined {
	const value = options[flag];
	if (value === undefined || value === '') {
		return undefined;
	}

	if (typeof value !== 'string' || !/^\d+$/.test(value)) {
		throw new BadInputError([`--${flag}: must be a whole number`]);
	}

	return Number(value);
}
