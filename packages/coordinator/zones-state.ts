/** Decides what an entry knows of closed zones, from the store and from other entries. */
import {
	assertNever, type CurrentTime, type Milliseconds, type Step,
} from '#core';
import type {SharedZones} from '#protocol';
import type {Observation} from '#store';
import {
	compareZones, mergeZones, type ClosedZones, type ZoneChange, type ZoneObservation,
} from '#zones';
import type {OperatorKey} from './ports.js';

/** `watch`: this entry's watch; `term`: the list that a new scheduler reads. */
export type ZonesSource = 'watch' | 'term' | 'entry';

export type ZonesMessage = Readonly<{kind: 'observed'; observation: ZoneObservation; source: ZonesSource}>;

/** A change that the operators made; `milliseconds` is for how long the zone has been, or had been, closed. */
export type ZonesEffect = Readonly<{
	kind: 'closed' | 'opened';
	zone: string;
	/** Store revision of the key that closes, or closed, the zone. */
	revision: number;
	listRevision: number;
	source: ZonesSource;
	milliseconds: Milliseconds;
}>;

export function receiveZonesMessage(state: ClosedZones, {observation, source}: ZonesMessage, {monotonic}: CurrentTime): Step<ClosedZones, ZonesEffect> {
	const next = mergeZones(state, observation, monotonic);
	const {closed, opened} = compareZones(state, next);
	const describe = (kind: ZonesEffect['kind'], [zone, {revision, since}]: typeof closed[number]): ZonesEffect => ({
		kind, zone, revision, listRevision: next.revision, source, milliseconds: Math.round(monotonic - since),
	});
	return {state: next, effects: [...opened.map(entry => describe('opened', entry)), ...closed.map(entry => describe('closed', entry))]};
}

/** Selects what an observation of the operators' keys says about closed zones. */
export function selectZones(observation: Observation, decodeKey: (key: string) => OperatorKey): ZoneObservation {
	const {revision} = observation;
	const zonesOf = (key: string) => {
		const decoded = decodeKey(key);
		return decoded.kind === 'closed-zone' ? [decoded.zone] : [];
	};

	switch (observation.kind) {
		case 'all': {
			return {kind: 'listed', revision, closed: observation.values.flatMap(({key, version}) => zonesOf(key).map(zone => ({zone, revision: version})))};
		}

		case 'changes': {
			return {
				kind: 'changed',
				revision,
				changes: observation.events.flatMap((event): readonly ZoneChange[] => event.kind === 'put'
					? zonesOf(event.stored.key).map(zone => ({kind: 'closed', zone, revision: event.stored.version}))
					: zonesOf(event.key).map(zone => ({kind: 'opened', zone}))),
			};
		}

		default: {
			return assertNever(observation);
		}
	}
}

/** Describes the list for another entry; undefined before the first observation. */
export function shareZones({revision, zones}: ClosedZones, {monotonic}: Pick<CurrentTime, 'monotonic'>): SharedZones | undefined {
	return revision === 0
		? undefined
		: {revision, closed: [...zones].map(([zone, closed]) => ({zone, revision: closed.revision, closedMilliseconds: Math.max(0, Math.round(monotonic - closed.since))}))};
}
