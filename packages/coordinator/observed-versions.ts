/** Versions that a watch has observed, so that a record counts as a change only once. After lost events a watch lists all keys again. */
import {Map as PersistentMap} from 'immutable';
import type {Observation} from '#store';

/** By key; keys that were last observed to be absent are left out. */
export type ObservedVersions = PersistentMap<string, number>;

export const noObservedVersions: ObservedVersions = PersistentMap();

/**
Adds the versions of an observation.

@example
```
const versions = addObservation(noObservedVersions, {kind: 'all', revision: 5, values: [{key: 'a', value: 1, version: 5}]});
versions.get('a'); // 5
```
*/
export function addObservation(versions: ObservedVersions, observation: Observation): ObservedVersions {
	switch (observation.kind) {
		case 'all': {
			return PersistentMap(observation.values.map(({key, version}): [string, number] => [key, version]));
		}

		case 'changes': {
			return versions.withMutations(next => {
				for (const event of observation.events) {
					switch (event.kind) {
						case 'put': {
							next.set(event.stored.key, event.stored.version);
							break;
						}

						case 'deleted': {
							next.delete(event.key);
						}
					}
				}
			});
		}
	}
}
