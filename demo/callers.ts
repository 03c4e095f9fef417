/** Callers of the demonstration: each submits one request or gang through the client library and records the result. */
import {setTimeout as delay} from 'node:timers/promises';
import {v7 as createUuid} from 'uuid';
import {createClient, type Client} from '#client';
import {
	createRandomSource, hashText, type JobId, type RequestId, type RunResult,
} from '#core';
import {systemClock} from '#kernel';
import type {Arrival} from './arrivals.js';
import type {CallerResult} from './types.js';

const pollMilliseconds = 250;
/** Time after which a caller stops polling a request, or cancels a job and polls it once more. */
const callerTimeoutMilliseconds = 25_000;

type CallOutcome = Pick<CallerResult, 'outcome' | 'isOwnResult'> & Readonly<{reason?: string}>;

/** Submits one arrival through the given entries and follows it until it ends. */
export async function submitArrival(arrival: Arrival, origins: readonly [string, ...string[]]): Promise<CallerResult> {
	const id = createUuid();
	const submittedAt = Date.now();
	const client = createClient({origins, clock: systemClock, random: createRandomSource(hashText(id))});
	const outcome = arrival.workClass === 'gang' ? await runJob(client, arrival, id as JobId) : await runRequest(client, arrival, id as RequestId);
	await client.close();
	return {
		id, workClass: arrival.workClass, plan: arrival.plan, idempotent: arrival.idempotent, submittedAt, endedAt: Date.now(), ...outcome,
	};
}

async function runRequest(client: Client, arrival: Arrival, requestId: RequestId): Promise<CallOutcome> {
	const outcome = await client.submitRequest({
		requestId, plan: arrival.plan, kind: arrival.kind, idempotent: arrival.idempotent, payload: {milliseconds: arrival.runMilliseconds, mark: requestId},
	});
	switch (outcome.kind) {
		case 'completed': {
			return {outcome: 'completed', isOwnResult: containsMark(outcome.value, requestId)};
		}

		case 'not-run': {
			return {outcome: 'not-run', reason: outcome.reason, isOwnResult: false};
		}

		case 'unknown': {
			return awaitRequestOutcome(client, requestId, outcome.reason);
		}
	}
}

/** Polls the outcome of a request until it is final or the caller times out. */
async function awaitRequestOutcome(client: Client, requestId: RequestId, reason: string): Promise<CallOutcome> {
	const deadline = Date.now() + callerTimeoutMilliseconds;
	while (Date.now() < deadline) {
		const reply = await client.findRequest(requestId);
		if (reply.kind === 'found' && reply.status.outcome === 'completed') {
			return {outcome: 'completed', isOwnResult: containsMark(reply.status.result, requestId)};
		}

		const isPending = reply.kind === 'unavailable' || (reply.kind === 'found' && reply.status.outcome === 'unknown' && reply.status.isInFlight);
		if (!isPending) {
			return reply.kind === 'found' && reply.status.outcome === 'not-run'
				? {outcome: 'not-run', reason: reply.status.reason, isOwnResult: false}
				: {outcome: 'unknown', reason, isOwnResult: false};
		}

		await delay(pollMilliseconds);
	}

	return {outcome: 'unknown', reason, isOwnResult: false};
}

async function runJob(client: Client, arrival: Arrival, jobId: JobId): Promise<CallOutcome> {
	const submitted = await client.submitJob({
		jobId,
		plan: arrival.plan,
		kind: arrival.kind,
		idempotent: arrival.idempotent,
		preemptible: arrival.preemptible,
		gang: {members: arrival.members, acceleratorsPerMember: arrival.acceleratorsPerMember, adjacency: 'zone'},
		payload: {milliseconds: arrival.runMilliseconds, mark: jobId},
	});
	switch (submitted.kind) {
		case 'not-run': {
			return {outcome: 'not-run', reason: submitted.reason, isOwnResult: false};
		}

		case 'completed':
		case 'unknown': {
			return followJob(client, jobId);
		}
	}
}

async function followJob(client: Client, jobId: JobId): Promise<CallOutcome> {
	const deadline = Date.now() + callerTimeoutMilliseconds;
	let isCancelled = false;
	for (;;) {
		const reply = await client.findJob(jobId);
		const outcome = reply.kind === 'found' ? reply.status.outcome : undefined;
		if (reply.kind === 'found' && (outcome === 'completed' || outcome === 'not-run' || outcome === 'stopped' || outcome === 'unknown')) {
			const reason = reply.status.reason ?? reply.status.state;
			return {outcome, reason, isOwnResult: outcome === 'completed' && JSON.stringify(reply.status.results).includes(jobId)};
		}

		if (Date.now() > deadline) {
			if (isCancelled) {
				return {outcome: 'none', reason: reply.kind === 'found' ? `still ${reply.status.state} ${reply.status.reason ?? ''}` : reply.kind, isOwnResult: false};
			}

			isCancelled = true;
			await client.cancelJob(jobId);
		}

		await delay(pollMilliseconds);
	}
}

/** Whether the result echoes the identifier that the payload carried as `mark`. */
function containsMark(result: RunResult, mark: string): boolean {
	return JSON.stringify(result.body).includes(mark);
}

/** Rotates the origins per caller, as the platform's load balancer sends callers to different entries first. */
export function rotateOrigins(origins: readonly string[], index: number): readonly [string, ...string[]] {
	const first = index % origins.length;
	return [...origins.slice(first), ...origins.slice(0, first)] as unknown as readonly [string, ...string[]];
}
