import VError from 'verror';
import type {Finding} from '#core';

/** Invalid settings, arguments or files. */
export class BadInputError extends VError {
	/** Each line names its place: a flag, or a file with line and path. */
	readonly lines: readonly string[];

	constructor(lines: readonly string[]) {
		super({name: 'BadInputError', info: {lines}}, '%s', lines.join('\n'));
		this.lines = lines;
	}
}

/** The store or an entry that a command needs does not answer. Nothing was changed. */
export class UnavailableError extends VError {
	constructor(what: string, message: string) {
		super({name: 'UnavailableError', info: {what}}, '%s is not available: %s', what, message);
	}
}

export function formatFinding({place, message}: Finding): string {
	return `${place}: ${message}`;
}
