/** Zones that the operators have closed: no task starts there until they are opened. */
import type {Milliseconds, MonotonicTime} from '#core';

export type ClosedZone = Readonly<{
	/** Store revision of the key that closes the zone. */
	revision: number;
	/** Since when, by this process's clock, the zone is known to be closed. */
	since: MonotonicTime;
}>;

export type ClosedZones = Readonly<{
	/** Store revision at which the list was current; 0 before the first observation. */
	revision: number;
	/** By name of the zone. */
	zones: ReadonlyMap<string, ClosedZone>;
}>;

export type ZoneChange =
	| Readonly<{kind: 'closed'; zone: string; revision: number}>
	| Readonly<{kind: 'opened'; zone: string}>;

/**
Something that was learned about the closed zones, at a revision of the store.

- `listed`: all closed zones, as the store holds them.
- `changed`: what changed since the last observation of the same watch, in order.
- `shared`: the list of another entry, with the time for which it has known each zone to be closed.
*/
export type ZoneObservation =
	| Readonly<{kind: 'listed'; revision: number; closed: ReadonlyArray<Readonly<{zone: string; revision: number}>>}>
	| Readonly<{kind: 'changed'; revision: number; changes: readonly ZoneChange[]}>
	| Readonly<{kind: 'shared'; revision: number; closed: ReadonlyArray<Readonly<{zone: string; revision: number; closedMilliseconds: Milliseconds}>>}>;

/** Zones that two lists differ in. A zone that was opened and closed again in between is in both. */
export type ZoneDifferences = Readonly<{
	closed: ReadonlyArray<readonly [string, ClosedZone]>;
	opened: ReadonlyArray<readonly [string, ClosedZone]>;
}>;
