import type {HttpReply} from '#kernel';
import type {Respond, StoreEffect, StoreState} from './types.js';

/** An answer of the service, held back by the switch for slowness. */
export function respond(state: StoreState, callback: Respond, status: number, body: unknown): StoreEffect {
	const reply: HttpReply = {kind: 'json', status, body};
	return {
		kind: 'respond', respond: callback, reply, delay: state.switches.slownessMilliseconds,
	};
}
