import {UnexpectedValueError} from './errors.js';

/**
Asserts that a switch is exhaustive; a reachable call is a type error.

@throws {UnexpectedValueError} if an unvalidated value reaches it at run time.
*/
export function assertNever(value: never): never {
	throw new UnexpectedValueError(value);
}
