import {
	requestWorkSchema, type AgentAnswer, type RequestWork, type WorkerId,
} from '#core';
import type {HttpReply} from '#kernel';
import {chooseWorker, type Candidate} from '#routing';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {connectionsService} from './connections.js';
import {membershipService} from './membership.js';
import {configurationService} from './watch-configuration.js';

const runTimeoutMilliseconds = 120_000;
const shortEstimateMilliseconds = 100;

entryPlugins.register({
	kind: 'http-route',
	name: 'run-request',
	method: 'POST',
	path: '/v1/requests',
	bodySchema: requestWorkSchema,
	handle: async ({body}, context) => runRequest(body as RequestWork, context),
});

async function runRequest(work: RequestWork, context: EntryContext): Promise<HttpReply> {
	const connections = context.services.use(connectionsService);
	const membership = context.services.use(membershipService);
	const plans = context.services.use(configurationService).read().current?.plans;
	if (plans === undefined) {
		return refuse(503, 'no-configuration', 'No configuration has been read yet');
	}

	if (!plans.some(plan => plan.name === work.plan)) {
		return refuse(403, 'unknown-plan', `Plan ${work.plan} does not exist`);
	}

	const chosen = chooseWorker(listCandidates(context), context.random);
	const agent = chosen === undefined ? undefined : membership.read().agents.get(chosen.worker);
	const peer = chosen === undefined ? undefined : connections.read().peers.get(chosen.worker);
	if (chosen === undefined || agent === undefined || peer === undefined) {
		return refuse(503, 'no-worker-available', 'No worker is available');
	}

	connections.send({kind: 'sent', worker: chosen.worker});
	const reply = await peer.call('request.run', {
		work, incarnation: agent.incarnation, serviceClass: 'short', estimatedMilliseconds: shortEstimateMilliseconds,
	}, runTimeoutMilliseconds);
	connections.send({kind: 'answered', worker: chosen.worker});
	switch (reply.kind) {
		case 'answered': {
			return toReply(work, chosen.worker, reply.result);
		}

		case 'failed': {
			return reply.delivery === 'never-sent'
				? refuse(503, reply.reason, reply.message)
				: refuse(502, reply.reason, reply.message, 'unknown');
		}
	}
}

function listCandidates({services}: EntryContext): readonly Candidate[] {
	const {outstanding} = services.use(connectionsService).read();
	return [...services.use(membershipService).read().agents.values()].filter(agent => !agent.isLeaving).map(({worker, capacity, load}) => ({
		worker,
		slots: capacity.slots,
		outstanding: outstanding.get(worker) ?? 0,
		reported: load.shortQueued + load.shortRunning + load.longQueued + load.longRunning,
	}));
}

function toReply({requestId}: RequestWork, worker: WorkerId, answer: AgentAnswer): HttpReply {
	switch (answer.kind) {
		case 'ran': {
			return {
				kind: 'json', status: 200, body: {
					requestId, outcome: 'completed', worker, ...answer.result,
				},
			};
		}

		case 'refused': {
			return refuse(503, answer.reason, 'The worker refused the request');
		}

		case 'interrupted': {
			return refuse(502, answer.reason, 'The request was interrupted', 'unknown');
		}
	}
}

function refuse(status: number, reason: string, title: string, outcome: 'not-run' | 'unknown' = 'not-run'): HttpReply {
	return {
		kind: 'problem', problem: {
			status, reason, title, extensions: {outcome},
		},
	};
}
