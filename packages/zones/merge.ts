import {assertNever, type MonotonicTime} from '#core';
import type {
	ClosedZone, ClosedZones, ZoneDifferences, ZoneObservation,
} from './types.js';

export const noClosedZones: ClosedZones = {revision: 0, zones: new Map()};

export function isZoneClosed({zones}: ClosedZones, zone: string): boolean {
	return zones.has(zone);
}

/**
Merges an observation into what is known. Under load of operators who close, open and close zones again, with a store that discards history and entries that lag, a newer revision wins and an older one changes nothing.

@example
```
const zones = mergeZones(noClosedZones, {kind: 'listed', revision: 7, closed: [{zone: 'norte-1', revision: 5}]}, 100);
isZoneClosed(zones, 'norte-1'); //=> true
mergeZones(zones, {kind: 'listed', revision: 6, closed: []}, 200) === zones; //=> true
```
*/
export function mergeZones(known: ClosedZones, observation: ZoneObservation, monotonic: MonotonicTime): ClosedZones {
	if (observation.revision <= known.revision) {
		return known;
	}

	const {revision} = observation;
	switch (observation.kind) {
		case 'listed': {
			return replaceZones(known, revision, observation.closed.map(closed => [closed.zone, {revision: closed.revision, since: monotonic}]));
		}

		case 'shared': {
			return replaceZones(known, revision, observation.closed.map(closed => [closed.zone, {revision: closed.revision, since: monotonic - closed.closedMilliseconds}]));
		}

		case 'changed': {
			const zones = new Map(known.zones);
			for (const change of observation.changes) {
				switch (change.kind) {
					case 'closed': {
						const closed = {revision: change.revision, since: monotonic};
						zones.set(change.zone, keepEarlier(zones.get(change.zone), closed));
						break;
					}

					case 'opened': {
						zones.delete(change.zone);
						break;
					}

					default: {
						assertNever(change);
					}
				}
			}

			return {revision, zones};
		}

		default: {
			return assertNever(observation);
		}
	}
}

/** Takes over a whole list. Its pages are no snapshot, so that a zone may be known to have been closed after the list's revision; the change is still to come and does not open the zone. */
function replaceZones(known: ClosedZones, revision: number, closed: ReadonlyArray<readonly [string, ClosedZone]>): ClosedZones {
	const later = [...known.zones].filter(([, zone]) => zone.revision > revision);
	return {revision, zones: new Map([...later, ...closed.map(([zone, listed]): [string, ClosedZone] => [zone, keepEarlier(known.zones.get(zone), listed)])])};
}

/** The same closing, learned of twice, counts from the earlier time. */
function keepEarlier(known: ClosedZone | undefined, learned: ClosedZone): ClosedZone {
	return known?.revision === learned.revision ? {...known, since: Math.min(known.since, learned.since)} : learned;
}

/** Lists the zones that were closed and opened between two lists. */
export function compareZones(earlier: ClosedZones, later: ClosedZones): ZoneDifferences {
	const isIn = ({zones}: ClosedZones, [zone, {revision}]: readonly [string, ClosedZone]) => zones.get(zone)?.revision === revision;
	return {
		closed: [...later.zones].filter(entry => !isIn(earlier, entry)),
		opened: [...earlier.zones].filter(entry => !isIn(later, entry)),
	};
}
