import {respond, type WorkerStep} from './reply.js';
import type {
	Switches, WorkerEffect, WorkerMessage, WorkerState,
} from './types.js';

export const initialSwitches: Switches = {
	hang: false, loseStartAnswers: false, failAll: false, slowFactor: 1, pauseEnds: false,
};

/** Changes the injected faults; releases deferred ends when `pauseEnds` is off. */
export function changeSwitches(state: WorkerState, {changes, respond: callback}: Extract<WorkerMessage, {kind: 'switch'}>): WorkerStep {
	const specified: Partial<Switches> = Object.fromEntries(Object.entries(changes).filter(([, setting]) => setting !== undefined));
	const switches: Switches = {...state.switches, ...specified};
	const released = switches.pauseEnds ? [] : state.deferredEnds;
	return {
		state: {...state, switches, deferredEnds: switches.pauseEnds ? state.deferredEnds : []},
		effects: [
			respond(callback, 200, switches),
			...released.map((end): WorkerEffect => ({kind: 'schedule', delay: 0, message: {kind: 'run-ended', ...end}})),
		],
	};
}
