import {wholeNumberSettingSchema, type SettingDefinitions} from '#kernel';
import type {Milliseconds} from '#core';
import {maximumBodyBytes} from './constants.js';

/** Bounds of one HTTP listener. */
export type ListenerLimits = Readonly<{
	maximumConnections: number;
	/** Size limit of a request body. */
	maximumBodyBytes: number;
	/** Bytes being received and of answers that are not read, over all connections. */
	budgetBytes: number;
	/** Part of it that the connections of one team may use. */
	teamBytes: number;
	/** Time in which an answer has to be read. */
	unreadAnswerMilliseconds: Milliseconds;
}>;

const megabyte = 1_048_576;

/** A body takes up to three times its size while its buffer grows: the old buffer and the new one. */
const minimumBudgetBodies = 3;

/** Share of the budget that one team may use. */
const teamShare = 1 / 2;

const connectionsSchema = wholeNumberSettingSchema(1, 100_000);
const bytesSchema = wholeNumberSettingSchema(1024, 1_073_741_824);

/** Settings of the listeners of an entry. With the defaults all ports of an entry use at most 3,828 descriptors of the 3,896 that its machine leaves it. */
export const entryListenerSettings = {
	'maximum-connections': {schema: connectionsSchema, description: 'Maximum number of connections of callers; idle ones are closed in favour of new ones', default: '2000'},
	'maximum-body-bytes': {schema: bytesSchema, description: 'Size limit of a request body', default: String(maximumBodyBytes)},
	'receive-budget-bytes': {
		schema: bytesSchema,
		description: 'Memory for requests being received and answers that are not read, over all connections of callers; on the platform half of it for one team',
		default: String(16 * megabyte),
	},
	'unread-answer-milliseconds': {schema: wholeNumberSettingSchema(100, 600_000), description: 'Time in which an answer has to be read before its connection is closed', default: '10000'},
	'operations-connections': {schema: connectionsSchema, description: 'Maximum number of connections of each further HTTP port: operations and, on the platform, readiness', default: '64'},
	'operations-budget-bytes': {schema: bytesSchema, description: 'The same memory for each of these ports', default: String(4 * megabyte)},
	'maximum-peer-connections': {schema: connectionsSchema, description: 'Maximum number of connections of agents and other entries', default: '1600'},
	'handshake-connections': {schema: connectionsSchema, description: 'Maximum number of connections to the port for agents and entries that are not established yet', default: '100'},
	'peer-budget-bytes': {
		schema: bytesSchema, description: 'Memory for messages being received and messages that are not read, over all connections of agents and other entries', default: String(32 * megabyte),
	},
} as const satisfies SettingDefinitions;

/** Settings of the listeners of an agent, to which one worker and the operators connect. */
export const agentListenerSettings = {
	'maximum-connections': {schema: connectionsSchema, description: 'Maximum number of connections for announcements; idle ones are closed in favour of new ones', default: '200'},
	'maximum-body-bytes': entryListenerSettings['maximum-body-bytes'],
	'receive-budget-bytes': {schema: bytesSchema, description: 'Memory for announcements being received and answers that are not read, over all connections', default: String(8 * megabyte)},
	'unread-answer-milliseconds': entryListenerSettings['unread-answer-milliseconds'],
	'operations-connections': {schema: connectionsSchema, description: 'Maximum number of connections of the operations port', default: '64'},
	'operations-budget-bytes': {schema: bytesSchema, description: 'The same memory for the operations port', default: String(4 * megabyte)},
} as const satisfies SettingDefinitions;

type LimitName = keyof typeof agentListenerSettings;
type LimitSettings = Readonly<Record<LimitName, number>>;

/** Limits of the port for callers of an entry, or for the announcements at an agent. */
export function limitsOfRequests(settings: LimitSettings): ListenerLimits {
	return describeLimits(settings['maximum-connections'], settings['receive-budget-bytes'], settings);
}

/** Limits of a port for callers of several teams. */
export function limitsOfTeams(settings: LimitSettings): ListenerLimits {
	const limits = limitsOfRequests(settings);
	return {...limits, teamBytes: Math.max(limits.budgetBytes * teamShare, minimumBudgetBodies * limits.maximumBodyBytes)};
}

/** Limits of the further HTTP ports. */
export function limitsOfOperations(settings: LimitSettings): ListenerLimits {
	return describeLimits(settings['operations-connections'], settings['operations-budget-bytes'], settings);
}

function describeLimits(maximumConnections: number, budgetBytes: number, settings: LimitSettings): ListenerLimits {
	const bodyBytes = settings['maximum-body-bytes'];
	// A single body within its limit is always received.
	const wholeBytes = Math.max(budgetBytes, minimumBudgetBodies * bodyBytes);
	return {
		maximumConnections,
		maximumBodyBytes: bodyBytes,
		budgetBytes: wholeBytes,
		teamBytes: wholeBytes,
		unreadAnswerMilliseconds: settings['unread-answer-milliseconds'],
	};
}

/** Limits of a listener whose program has no settings for them. */
export const defaultListenerLimits: ListenerLimits = {
	maximumConnections: 2000, maximumBodyBytes, budgetBytes: 32 * megabyte, teamBytes: 32 * megabyte, unreadAnswerMilliseconds: 10_000,
};

/** Bounds of the listener for agents and other entries. */
export type PeerLimits = Readonly<{maximumConnections: number; handshakeConnections: number; budgetBytes: number}>;

type PeerLimitName = 'maximum-peer-connections' | 'handshake-connections' | 'peer-budget-bytes';

export function limitsOfPeers(settings: Readonly<Record<PeerLimitName, number>>): PeerLimits {
	return {maximumConnections: settings['maximum-peer-connections'], handshakeConnections: settings['handshake-connections'], budgetBytes: settings['peer-budget-bytes']};
}

/** Limits of a listener for peers whose program has no settings for them. */
export const defaultPeerLimits: PeerLimits = {maximumConnections: 2000, handshakeConnections: 200, budgetBytes: 32 * megabyte};
