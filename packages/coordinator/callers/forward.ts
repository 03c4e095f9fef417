import type {CallerAnswer, CallerRequest, ForwardedAnswer} from '#protocol';
import type {MonotonicTime} from '#core';
import type {CallReply, RpcPeer} from '#transport';
import {findShownVersion} from '../configuration-state.js';
import {entryCallTimeoutMilliseconds} from '../constants.js';
import {configurationService} from '../plugins/configuration.js';
import type {CoordinatorContext} from '../types.js';

/** Meaning of another entry's reply to a forwarded call. */
export type ForwardOutcome =
	| Readonly<{kind: 'served'; answer: CallerAnswer}>
	/** The other entry may have stored the job, although its reply was lost. */
	| Readonly<{kind: 'undecided'; answer: CallerAnswer}>
	/** The call certainly had no effect. */
	| Readonly<{kind: 'not-served'}>
	/** The other entry did nothing, because it has a newer configuration than the call names. */
	| Readonly<{kind: 'newer'; version: number}>
	/** The other entry did nothing, because it has an older configuration than callers have seen. */
	| Readonly<{kind: 'older'}>;

export type ForwardOptions = Readonly<{
	peers: readonly RpcPeer[];
	/** Maximum number of entries that are asked, without those that have an older configuration. */
	maximum: number;
	/** When the caller is answered; no entry is asked after it. */
	deadline: MonotonicTime;
}>;

/** Asks other entries in turn; undefined if none of them could serve the call in time and it certainly had no effect. */
export async function forwardCall(call: CallerRequest, {peers, maximum, deadline}: ForwardOptions, context: CoordinatorContext): Promise<CallerAnswer | undefined> {
	let attempts = 0;
	for (const peer of peers) {
		const timeoutMilliseconds = deadline - context.clock.monotonic();
		if (attempts >= maximum || timeoutMilliseconds <= 0) {
			return undefined;
		}

		const outcome = await callEntry({...call, timeoutMilliseconds}, peer, context);
		context.counters.countRetry(outcome.kind === 'served' ? 'forwarded' : 'forward-failed');
		switch (outcome.kind) {
			case 'served':
			case 'undecided': {
				return outcome.answer;
			}

			case 'not-served':
			case 'newer': {
				attempts++;
				break;
			}

			case 'older': {
				break;
			}
		}
	}

	return undefined;
}

/** Calls one entry, and again if it has a newer configuration: only then has this entry recorded which version its callers see. */
async function callEntry(call: CallerRequest, peer: RpcPeer, {services}: CoordinatorContext): Promise<ForwardOutcome> {
	const configuration = services.use(configurationService);
	let outcome: ForwardOutcome;
	let calls = 0;
	do {
		const configurationVersion = findShownVersion(configuration.read());
		const reply = await peer.call('entry.call', {...call, configurationVersion}, entryCallTimeoutMilliseconds);
		outcome = interpretReply(reply, call, configurationVersion);
		if (outcome.kind === 'newer') {
			configuration.send({kind: 'shown', version: outcome.version, address: peer.address});
		}

		calls++;
	} while (outcome.kind === 'newer' && calls < maximumCallsOfEntry);

	return outcome;
}

/** Calls of one entry for one caller's request; a second one follows a newer configuration, a third one another change at that moment. */
const maximumCallsOfEntry = 3;

/** Decides what a reply means for the call, which named the given version. */
export function interpretReply(reply: CallReply<ForwardedAnswer>, {action}: CallerRequest, namedVersion: number): ForwardOutcome {
	if (reply.kind === 'failed') {
		return reply.delivery === 'perhaps-sent' && action.kind === 'submit' ? {kind: 'undecided', answer: {kind: 'undecided', reason: 'another entry did not answer'}} : {kind: 'not-served'};
	}

	const {result} = reply;
	switch (result.kind) {
		case 'other-configuration': {
			return result.version > namedVersion ? {kind: 'newer', version: result.version} : {kind: 'older'};
		}

		case 'refused': {
			return {kind: 'not-served'};
		}

		case 'undecided': {
			return action.kind === 'submit' ? {kind: 'undecided', answer: result} : {kind: 'not-served'};
		}

		case 'accepted':
		case 'state':
		case 'pending':
		case 'cancelled':
		case 'absent':
		case 'withdrawn':
		case 'unknown-queue':
		case 'unauthorized':
		case 'invalid': {
			return {kind: 'served', answer: result};
		}
	}
}
