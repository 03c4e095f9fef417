import {createRandomSource, hashText} from '#core';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {reportIntervalMilliseconds, type EntryAddress, type Slice} from '#protocol';
import {connectToPeer, type RpcPeer} from '#transport';
import {entryCallTimeoutMilliseconds} from '../constants.js';
import {
	describeAgent, describeReport, pickChangedFields, type Report,
} from '../describe.js';
import {
	createEntriesState, receiveEntriesMessage, type EntriesEffect, type EntriesMessage, type EntriesState,
} from '../entries.js';
import {agentPlugins} from '../plugins.js';
import type {AgentContext} from '../types.js';
import {sliceService} from './slice.js';

/** Task that owns the connections to entries. */
export const entriesService = createServiceKey<TaskHandle<EntriesState, EntriesMessage>>('entries');

type Send = (message: EntriesMessage) => void;

agentPlugins.register({
	kind: 'task',
	name: 'entries',
	start(context) {
		const {settings, clock, services} = context;
		const random = createRandomSource(hashText(settings.worker));
		const reported = new WeakMap<RpcPeer, Report>();
		const entries = startTask<EntriesState, EntriesMessage, EntriesEffect>(
			{
				name: 'entries',
				initialState: createEntriesState(settings.worker, settings.entries),
				receive: (state, message) => receiveEntriesMessage(state, message, random),
			},
			{
				clock,
				perform(effect, send) {
					performEffect(effect, send, context, reported);
				},
			},
		);
		services.provide(entriesService, entries);
		entries.send({kind: 'start'});
		return () => {
			entries.send({kind: 'stop'});
		};
	},
});

function performEffect(effect: EntriesEffect, send: Send, context: AgentContext, reported: WeakMap<RpcPeer, Report>): void {
	const {clock} = context;
	switch (effect.kind) {
		case 'dial': {
			void dial(effect.address, send, context);
			break;
		}

		case 'schedule-redial': {
			clock.schedule(effect.delay, () => {
				send({kind: 'redial-due', address: effect.address});
			});
			break;
		}

		case 'announce': {
			void announce(effect, send, context, reported);
			break;
		}

		case 'schedule-report': {
			clock.schedule(reportIntervalMilliseconds, () => {
				send({kind: 'report-due', address: effect.address, peer: effect.peer});
			});
			break;
		}

		case 'report': {
			void report(effect.peer, send, context, reported);
			break;
		}

		case 'announce-leaving': {
			const {settings: {worker}, incarnation} = context;
			void effect.peer.call('agent.leaving', {worker, incarnation}, entryCallTimeoutMilliseconds);
			break;
		}

		case 'close': {
			effect.peer.close(effect.reason);
		}
	}
}

async function dial(address: string, send: Send, context: AgentContext): Promise<void> {
	const peer = await connectToPeer(address, {
		registry: agentPlugins, context, clock: context.clock, log: context.log.withPrefix('entries'),
	});
	if (peer === undefined) {
		send({kind: 'dial-failed', address});
		return;
	}

	peer.onClosed(reason => {
		context.log.withPrefix('entries').info({address, reason}, 'connection to an entry closed');
		send({kind: 'closed', address, peer});
	});
	send({kind: 'opened', address, peer});
}

async function announce(
	{address, peer}: Readonly<{address: string; peer: RpcPeer}>,
	send: Send,
	context: AgentContext,
	reported: WeakMap<RpcPeer, Report>,
): Promise<void> {
	const description = describeAgent(context, context.services.use(entriesService).read().isLeaving);
	const reply = await peer.call('agent.announce', description, entryCallTimeoutMilliseconds);
	switch (reply.kind) {
		case 'failed': {
			peer.close(`announcement failed: ${reply.message}`);
			break;
		}

		case 'answered': {
			const {entry} = reply.result;
			reported.set(peer, description);
			context.log.withPrefix('entries').info({address, entry}, 'announced the agent to an entry');
			send({
				kind: 'announced', address, peer, entry,
			});
			applyUpdates(reply.result, send, context);
		}
	}
}

async function report(peer: RpcPeer, send: Send, context: AgentContext, reported: WeakMap<RpcPeer, Report>): Promise<void> {
	const description = describeReport(context);
	for (const [name, value] of Object.entries(description.load)) {
		context.counters.setGauge(name, value);
	}

	const reply = await peer.call('agent.report', pickChangedFields(description, reported.get(peer)), entryCallTimeoutMilliseconds);
	if (reply.kind === 'answered') {
		reported.set(peer, description);
		applyUpdates(reply.result, send, context);
	}
}

function applyUpdates({slice, entries}: Readonly<{slice?: Slice | undefined; entries?: readonly EntryAddress[] | undefined}>, send: Send, {services}: AgentContext): void {
	if (slice !== undefined) {
		services.use(sliceService).send({kind: 'received', slice});
	}

	if (entries !== undefined) {
		send({kind: 'entries-discovered', entries});
	}
}
