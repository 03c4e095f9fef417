import {historyKeyPrefix, historyLength} from './constants.js';

/**
Store key of an earlier revision. Keys are reused after `historyLength` changes, so the history needs no cleanup.

@example
```
historyKeyOf(52);
//=> 'history/configuration/2'
```
*/
export function historyKeyOf(revision: number): string {
	return `${historyKeyPrefix}${revision % historyLength}`;
}

/** Lists the revisions before the current one that the history may still hold, newest first. */
export function listHistoryRevisions(current: number, limit: number): readonly number[] {
	const length = Math.max(0, Math.min(limit, historyLength, current - 1));
	return Array.from({length}, (_, index) => current - 1 - index);
}
