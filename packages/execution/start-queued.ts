import {startItem, chooseNext, removeUnreachable} from '#limits';
import {refuseQueued, type ExecutionStep} from './answers.js';
import {findRecord, storePending} from './ledger.js';
import type {CurrentTime} from './types.js';

/** Refuses queued requests that can no longer meet their deadline and starts as many of the others as there are free slots. */
export function startQueued(step: ExecutionStep, time: CurrentTime): ExecutionStep {
	const {queue, removed} = removeUnreachable(step.state.queue, time.now);
	let next: ExecutionStep = {...step, state: {...step.state, queue}};
	for (const item of removed) {
		next = refuseQueued(next, item, 'deadline-unreachable', time);
	}

	for (let item = chooseNext(next.state.queue); item !== undefined; item = chooseNext(next.state.queue)) {
		const {state, effects} = next;
		const record = findRecord(state.ledger, item.requestId);
		if (record?.kind !== 'queued') {
			break;
		}

		const {work, fingerprint, queuedAt, replyIds} = record;
		next = {
			state: {
				...state,
				queue: startItem(state.queue, item, time.monotonic),
				ledger: storePending(state.ledger, {
					kind: 'running', work, fingerprint, queuedAt, startedAt: time.monotonic, replyIds,
				}),
				totals: {...state.totals, started: state.totals.started + 1},
			},
			effects: [...effects, {kind: 'start-task', work}],
		};
	}

	return next;
}
