import type {HttpReply} from '#kernel';
import type {Respond, StoreEffect, StoreState} from './types.js';

/** Creates the effect that sends a reply, delayed by the `slownessMilliseconds` switch. */
export function respond(state: StoreState, callback: Respond, status: number, body: unknown): StoreEffect {
	const reply: HttpReply = {kind: 'json', status, body};
	return {
		kind: 'respond', respond: callback, reply, delay: state.switches.slownessMilliseconds,
	};
}
