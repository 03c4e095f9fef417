import type {RequestWork} from '#core';
import type {ExecutionMessage} from '#execution';
import {requestLeaseMilliseconds} from './constants.js';
import type {WorkerClient} from './worker-types.js';

/** Runs a request on the worker and returns its outcome. */
export async function runTask(client: WorkerClient, {requestId, kind, payload, idempotent}: RequestWork): Promise<ExecutionMessage> {
	const outcome = await client.start({
		taskId: requestId, kind, payload, accelerators: [], leaseMilliseconds: requestLeaseMilliseconds,
	});
	switch (outcome.kind) {
		case 'never-started': {
			return {kind: 'task-not-started', requestId, reason: outcome.reason};
		}

		case 'perhaps-started': {
			// An idempotent request can be retried elsewhere, which is faster than waiting for an unresponsive worker.
			return idempotent ? {kind: 'task-lost', requestId, reason: 'worker-failed'} : waitForTask(client, requestId);
		}

		case 'started': {
			return waitForTask(client, requestId);
		}
	}
}

async function waitForTask(client: WorkerClient, requestId: RequestWork['requestId']): Promise<ExecutionMessage> {
	const end = await client.waitForEnd(requestId, requestLeaseMilliseconds);
	if (end.kind === 'lost') {
		return {kind: 'task-lost', requestId, reason: 'worker-failed'};
	}

	const {state, body} = end.task;
	switch (state) {
		case 'succeeded':
		case 'failed': {
			return {kind: 'task-ended', requestId, result: {status: state, body}};
		}

		case 'stopped': {
			return {kind: 'task-lost', requestId, reason: 'lease-lapsed'};
		}

		case 'never-started': {
			return {kind: 'task-not-started', requestId, reason: 'worker-failed'};
		}

		case 'running': {
			return {kind: 'task-lost', requestId, reason: 'timeout'};
		}
	}
}
