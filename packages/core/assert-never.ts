import {UnexpectedValueError} from './errors.js';

/**
Ends an exhaustive switch. The type checker rejects a call that can be reached.

@throws {UnexpectedValueError} if an unchecked value gets here at run time.
*/
export function assertNever(value: never): never {
	throw new UnexpectedValueError(value);
}
