/** Decides which configuration is in force in an entry, and records versions that only other entries have. */
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
	/** Whether a configuration is being fetched from another entry; one at a time, as copies from several would fill a slow link. */
	isFetching: boolean;
}>;

export type ConfigurationMessage =
	| Readonly<{kind: 'received'; configuration: SchedulingConfiguration; source: 'store' | 'entry'}>
	| Readonly<{kind: 'announced'; version: number; address: string}>
	| Readonly<{kind: 'fetch-ended'}>;

export type ConfigurationEffect =
	| Readonly<{kind: 'accepted'; version: number; earlier: number | undefined; source: string; behindMilliseconds: number}>
	| Readonly<{kind: 'missed'; version: number; current: number; address: string}>
	| Readonly<{kind: 'fetch'; address: string}>;

export const initialConfigurationState: ConfigurationState = {current: undefined, missed: undefined, isFetching: false};

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

		case 'fetch-ended': {
			return {state: {...state, isFetching: false}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Finds the address of an entry that should answer callers instead, because this one has been behind for too long. */
export function findUpToDateEntry({missed}: ConfigurationState, monotonic: MonotonicTime): string | undefined {
	return missed !== undefined && monotonic - missed.since >= outdatedConfigurationMilliseconds ? missed.address : undefined;
}

type ReceivedMessage = Extract<ConfigurationMessage, {kind: 'received'}>;
type AnnouncedMessage = Extract<ConfigurationMessage, {kind: 'announced'}>;
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

function noteAnnouncement(state: ConfigurationState, {version, address}: AnnouncedMessage, monotonic: MonotonicTime): ConfigurationStep {
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

function fetchWhenOverdue({state, effects}: ConfigurationStep, monotonic: MonotonicTime): ConfigurationStep {
	const {missed, isFetching} = state;
	return missed === undefined || isFetching || monotonic - missed.since < configurationFetchDelayMilliseconds
		? {state, effects}
		: {state: {...state, isFetching: true}, effects: [...effects, {kind: 'fetch', address: missed.address}]};
}
