import VError from 'verror';

/** Thrown for a value outside the declared union type. */
export class UnexpectedValueError extends VError {
	constructor(value: unknown) {
		super({name: 'UnexpectedValueError', info: {value}}, 'unexpected value: %s', JSON.stringify(value));
	}
}
