/** Decides which configuration is in force in an entry and whether its callers may be answered by it, and records versions that only other entries have. */
import {assertNever, type MonotonicTime, type Step} from '#core';
import {isNewerConfiguration, type SchedulingConfiguration} from '#jobs';
import type {CurrentTime} from '#kernel';
import {configurationFetchDelayMilliseconds, outdatedConfigurationMilliseconds} from './constants.js';

/** A version that another entry announced and that this one does not have. */
export type MissedVersion = Readonly<{
	version: number;
	/** Peer address of the entry that announced it last. */
	address: string;
	/** When this entry first learned that it is behind. */
	since: MonotonicTime;
}>;

export type ConfigurationState = Readonly<{
	/** The configuration in force; its version never decreases. */
	current: SchedulingConfiguration | undefined;
	missed: MissedVersion | undefined;
	/** Newest version whose effect callers of this entry may have seen through another entry; 0 if none. */
	shownVersion: number;
	/** Whether a configuration is being fetched from another entry; one at a time, as copies from several would fill a slow link. */
	isFetching: boolean;
}>;

export type ConfigurationMessage =
	| Readonly<{kind: 'received'; configuration: SchedulingConfiguration; source: 'store' | 'entry'}>
	| Readonly<{kind: 'announced'; version: number; address: string}>
	/** The next answer of another entry to a caller of this one is by this version. */
	| Readonly<{kind: 'shown'; version: number; address: string}>
	| Readonly<{kind: 'fetch-ended'}>;

export type ConfigurationEffect =
	| Readonly<{kind: 'accepted'; version: number; earlier: number | undefined; source: string; behindMilliseconds: number}>
	| Readonly<{kind: 'missed'; version: number; current: number; address: string}>
	| Readonly<{kind: 'shown'; version: number; current: number; address: string}>
	| Readonly<{kind: 'fetch'; address: string}>;

export const initialConfigurationState: ConfigurationState = {
	current: undefined, missed: undefined, shownVersion: 0, isFetching: false,
};

/**
Handles a configuration that was read, or a version that another entry announced.

@example
```
const {state} = receiveConfigurationMessage(initialConfigurationState, {kind: 'announced', version: 3, address: '10.0.0.1:7000'}, {now: 0, monotonic: 5});
state.missed;
//=> {version: 3, address: '10.0.0.1:7000', since: 5}
```
*/
export function receiveConfigurationMessage(state: ConfigurationState, message: ConfigurationMessage, {monotonic}: CurrentTime): Step<ConfigurationState, ConfigurationEffect> {
	switch (message.kind) {
		case 'received': {
			return acceptConfiguration(state, message, monotonic);
		}

		case 'announced': {
			return fetchWhenOverdue(noteAnnouncement(state, message, monotonic), monotonic);
		}

		case 'shown': {
			return noteShownVersion(noteAnnouncement(state, message, monotonic), message);
		}

		case 'fetch-ended': {
			return {state: {...state, isFetching: false}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

/** What an entry may answer its callers by. */
export type AnswerBasis =
	| Readonly<{kind: 'current'; configuration: SchedulingConfiguration}>
	/** Callers have seen the effect of a newer version, so that an answer by the current one would take it back. */
	| Readonly<{kind: 'outdated'}>
	| Readonly<{kind: 'no-configuration'}>;

/**
Decides whether callers may be answered by the configuration in force.

@example
```
findAnswerBasis({...initialConfigurationState, current: version12, shownVersion: 14});
//=> {kind: 'outdated'}
```
*/
export function findAnswerBasis(state: ConfigurationState): AnswerBasis {
	const {current} = state;
	if (current !== undefined && current.version >= state.shownVersion) {
		return {kind: 'current', configuration: current};
	}

	return state.shownVersion > 0 ? {kind: 'outdated'} : {kind: 'no-configuration'};
}

/** Newest version whose effect callers of this entry may have seen, by its own answers or by those of other entries; it never decreases. */
export function findShownVersion({current, shownVersion}: ConfigurationState): number {
	return Math.max(current?.version ?? 0, shownVersion);
}

/** Finds the address of an entry that should answer callers instead, because this one has been behind for too long or callers have seen a newer version. */
export function findUpToDateEntry(state: ConfigurationState, monotonic: MonotonicTime): string | undefined {
	const {missed} = state;
	if (missed === undefined) {
		return undefined;
	}

	const isOverdue = monotonic - missed.since >= outdatedConfigurationMilliseconds;
	return isOverdue || findAnswerBasis(state).kind === 'outdated' ? missed.address : undefined;
}

type ReceivedMessage = Extract<ConfigurationMessage, {kind: 'received'}>;
type AnnouncedMessage = Extract<ConfigurationMessage, {kind: 'announced'}>;
type ShownMessage = Extract<ConfigurationMessage, {kind: 'shown'}>;
type ConfigurationStep = Step<ConfigurationState, ConfigurationEffect>;

function acceptConfiguration(state: ConfigurationState, {configuration, source}: ReceivedMessage, monotonic: MonotonicTime): ConfigurationStep {
	const {current, missed} = state;
	if (!isNewerConfiguration(configuration, current)) {
		return {state, effects: []};
	}

	const {version} = configuration;
	return {
		state: {...state, current: configuration, missed: missed !== undefined && missed.version > version ? missed : undefined},
		effects: [{
			kind: 'accepted', version, earlier: current?.version, source, behindMilliseconds: missed === undefined ? 0 : Math.round(monotonic - missed.since),
		}],
	};
}

function noteAnnouncement(state: ConfigurationState, {version, address}: AnnouncedMessage | ShownMessage, monotonic: MonotonicTime): ConfigurationStep {
	const {current, missed} = state;
	const currentVersion = current?.version ?? 0;
	if (version <= currentVersion || version < (missed?.version ?? 0)) {
		return {state, effects: []};
	}

	return {
		state: {...state, missed: {version, address, since: missed?.since ?? monotonic}},
		effects: version === missed?.version
			? []
			: [{
				kind: 'missed', version, current: currentVersion, address,
			}],
	};
}

function noteShownVersion({state, effects}: ConfigurationStep, {version, address}: ShownMessage): ConfigurationStep {
	return version <= findShownVersion(state)
		? {state, effects}
		: {
			state: {...state, shownVersion: version},
			effects: [...effects, {
				kind: 'shown', version, current: state.current?.version ?? 0, address,
			}],
		};
}

function fetchWhenOverdue({state, effects}: ConfigurationStep, monotonic: MonotonicTime): ConfigurationStep {
	const {missed, isFetching} = state;
	return missed === undefined || isFetching || monotonic - missed.since < configurationFetchDelayMilliseconds
		? {state, effects}
		: {state: {...state, isFetching: true}, effects: [...effects, {kind: 'fetch', address: missed.address}]};
}
