import type {
	JobId, MonotonicTime, Place, WorkerId,
} from '#core';
import {gangLeaseMilliseconds, reservationLeaseMilliseconds} from '#protocol';
import {jobKey, listMembers, type JobRecord} from '#recovery';
import {entryLeaseService} from '../plugins/entry-lease.js';
import {storeService} from '../plugins/store.js';
import type {EntryContext} from '../types.js';
import {callAgent} from './call-agent.js';
import {maximumBackoffMilliseconds, minimumBackoffMilliseconds} from './constants.js';
import type {DriverEffect, DriverMessage, CallFailure} from './driver-types.js';

type SendMessage = (message: DriverMessage) => void;
type AgentEffect = Extract<DriverEffect, {kind: 'reserve' | 'commit' | 'raise' | 'start' | 'find' | 'stop'}>;

/** Effects that involve other jobs; the plug-in that runs the drivers performs them. */
export type SharedEffect = Extract<DriverEffect, {kind: 'place' | 'concluded'}>;

/** Performs an effect that involves only the driver's own job. */
export async function performDriverEffect(effect: Exclude<DriverEffect, SharedEffect>, context: EntryContext, send: SendMessage): Promise<void> {
	const {clock, random, services} = context;
	switch (effect.kind) {
		case 'write-record': {
			const {record, expectedVersion} = effect;
			const reply = await services.use(storeService).write(jobKey(record.work.jobId), record, {expectedVersion});
			send({kind: 'stored', writeId: record.writeId, reply});
			break;
		}

		case 'schedule': {
			clock.schedule(effect.delay, () => {
				send(effect.message);
			});
			break;
		}

		case 'back-off': {
			const ceiling = Math.min(maximumBackoffMilliseconds, minimumBackoffMilliseconds * (2 ** effect.failures));
			clock.schedule(minimumBackoffMilliseconds + (random() * ceiling), () => {
				send(effect.message);
			});
			break;
		}

		case 'reserve':
		case 'commit':
		case 'raise':
		case 'start':
		case 'find':
		case 'stop': {
			send(await performAgentEffect(effect, context));
		}
	}
}

function findPlace(record: JobRecord, worker: WorkerId): Place | undefined {
	return listMembers(record).find(({place}) => place.worker === worker)?.place;
}

async function performAgentEffect(effect: AgentEffect, context: EntryContext): Promise<DriverMessage> {
	const {kind, record, worker} = effect;
	const {attempt, work: {jobId: job}} = record;
	const place = findPlace(record, worker);
	switch (kind) {
		case 'find': {
			const answer = place === undefined ? gone : await callAgent(context, place, 'gang.find', {job});
			return {
				kind: 'found', attempt, worker, answer: answer.kind === 'result' ? {kind: 'found', ...answer.result} : answer,
			};
		}

		case 'stop': {
			const answer = place === undefined ? gone : await callAgent(context, place, 'gang.stop', {job, attempt, mode: effect.mode});
			return {
				kind: 'stop-answered', attempt, worker, answer: answer.kind === 'result' ? answer.result : answer,
			};
		}

		case 'reserve':
		case 'commit':
		case 'raise':
		case 'start': {
			const answer = place === undefined ? gone : await callForStep(effect, place, context);
			return {
				kind: 'answered', step: kind, attempt, worker, answer: answer.kind === 'result' ? answer.result : answer,
			};
		}
	}
}

const gone: CallFailure = {kind: 'gone'};

/** An owner whose store lease has expired sends no steps; those in progress end by their timeouts. */
async function callForStep(effect: Extract<AgentEffect, {kind: 'reserve' | 'commit' | 'raise' | 'start'}>, place: Place, context: EntryContext) {
	if (context.services.use(entryLeaseService).getValid() === undefined) {
		return {kind: 'unreachable'} as const;
	}

	const {record} = effect;
	const {attempt, submittedAt, work: {jobId: job, plan, preemptible, kind, payload}} = record;
	switch (effect.kind) {
		case 'reserve': {
			return callAgent(context, place, 'gang.reserve', {
				job, attempt, plan, submittedAt, preemptible, members: effect.members, leaseMilliseconds: reservationLeaseMilliseconds,
			});
		}

		case 'commit': {
			return callAgent(context, place, 'gang.commit', {job, attempt, leaseMilliseconds: gangLeaseMilliseconds});
		}

		case 'start': {
			return callAgent(context, place, 'gang.start', {
				job, attempt, kind, payload, checkpoints: effect.checkpoints, leaseMilliseconds: gangLeaseMilliseconds,
			});
		}

		case 'raise': {
			return raiseAttempt(record, place, context);
		}
	}
}

async function raiseAttempt(record: JobRecord, place: Place, context: EntryContext) {
	const {attempt, work: {jobId: job}, state} = record;
	const heldAs = state.kind === 'running' ? state.heldAs : attempt;
	const reply = await callAgent(context, place, 'gang.renew', {gangs: [{job, attempt: heldAs, raiseTo: attempt}], leaseMilliseconds: gangLeaseMilliseconds});
	if (reply.kind !== 'result') {
		return reply;
	}

	const result = reply.result.lapsed.length === 0 ? {kind: 'accepted'} as const : {kind: 'refused', reason: 'lease-lapsed'} as const;
	return {kind: 'result', result} as const;
}

/** Lists concluded jobs past their retention, and the oldest ones beyond the maximum number. */
export function listDiscardableJobs(concluded: ReadonlyMap<JobId, MonotonicTime>, expiredBefore: MonotonicTime, maximum: number): readonly JobId[] {
	const excess = concluded.size - maximum;
	return [...concluded].filter(([, concludedAt], index) => concludedAt <= expiredBefore || index < excess).map(([job]) => job);
}
