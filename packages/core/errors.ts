import VError from 'verror';

/** A value outside the union that its type declares. */
export class UnexpectedValueError extends VError {
	constructor(value: unknown) {
		super({name: 'UnexpectedValueError', info: {value}}, 'unexpected value: %s', JSON.stringify(value));
	}
}
