import type {Configuration} from './types.js';

/** Tells whether an observed configuration replaces the present one; revisions never go back. */
export function isNewer(observed: Configuration, present: Configuration | undefined): boolean {
	return present === undefined || observed.revision > present.revision;
}
