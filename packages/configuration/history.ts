import {historyKeyPrefix, historyLength} from './constants.js';

/**
Key of the store that keeps an earlier revision. A later revision takes the same key after `historyLength` changes, so that the history needs no clearing.

@example
```
historyKeyOf(52);
//=> 'history/configuration/2'
```
*/
export function historyKeyOf(revision: number): string {
	return `${historyKeyPrefix}${revision % historyLength}`;
}

/** Revisions that the history may still hold below the present one, newest first. */
export function listHistoryRevisions(present: number, limit: number): readonly number[] {
	const length = Math.max(0, Math.min(limit, historyLength, present - 1));
	return Array.from({length}, (_, index) => present - 1 - index);
}
