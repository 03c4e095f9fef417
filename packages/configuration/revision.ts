import type {Configuration} from './types.js';

/** Returns whether an observed configuration supersedes the current one; revisions never decrease. */
export function isNewer(observed: Configuration, current: Configuration | undefined): boolean {
	return current === undefined || observed.revision > current.revision;
}
