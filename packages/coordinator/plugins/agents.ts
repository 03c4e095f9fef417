import {JSONRPCErrorException} from 'json-rpc-2.0';
import {createServiceKey} from '#kernel';
import type {SchedulerReference} from '#protocol';
import type {AgentName} from '#scheduling';
import type {RpcPeer} from '#transport';
import {orderTimeoutMilliseconds} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import {schedulerService} from './scheduler.js';

/** Connections of the agents that are attached to this entry. */
export type AttachedAgents = Readonly<{
	/** Returns whether the agent is served over this connection; it is not if the connection has closed, or a newer one has replaced it. Renewals name no process. */
	attach(agent: AgentName, peer: RpcPeer, process?: string): boolean;
	/** The process of the agent that opened a connection. */
	findProcess(peer: RpcPeer): string | undefined;
	find(agent: AgentName): RpcPeer | undefined;
	/** Notifies every attached agent of the current scheduler. */
	announceScheduler(scheduler: SchedulerReference): void;
}>;

export const agentsService = createServiceKey<AttachedAgents>('agents');

const replacedConnectionCode = -32_002;

/** Thrown to an agent that calls over a connection on which it is not served. */
export function createReplacedConnectionError(): JSONRPCErrorException {
	return new JSONRPCErrorException('a newer connection of the agent replaced this one', replacedConnectionCode);
}

coordinatorPlugins.register({
	kind: 'task',
	name: 'agents',
	start({services, log, counters}) {
		const peers = new Map<AgentName, RpcPeer>();
		/** Their messages may arrive after those of a newer connection, and describe an earlier time. */
		const replacedPeers = new WeakSet<RpcPeer>();
		const processes = new WeakMap<RpcPeer, string>();
		services.provide(agentsService, {
			attach(agent, peer, process) {
				if (!peer.isOpen() || replacedPeers.has(peer)) {
					return false;
				}

				if (process !== undefined) {
					processes.set(peer, process);
				}

				const current = peers.get(agent);
				if (current === peer) {
					return true;
				}

				peers.set(agent, peer);
				if (current !== undefined) {
					replacedPeers.add(current);
					current.close('a newer connection of the agent replaced it');
				}

				counters.setGauge('attached-agents', peers.size);
				log.withPrefix('agents').info({agent, address: peer.address}, 'agent attached');
				peer.onClosed(reason => {
					if (peers.get(agent) === peer) {
						peers.delete(agent);
						counters.setGauge('attached-agents', peers.size);
						log.withPrefix('agents').info({agent, reason}, 'agent detached');
						services.use(schedulerService).send({kind: 'detached', agent});
					}
				});
				return true;
			},
			find: agent => peers.get(agent),
			findProcess: peer => processes.get(peer),
			announceScheduler(scheduler) {
				for (const peer of peers.values()) {
					void peer.call('worker.lead', scheduler, orderTimeoutMilliseconds);
				}
			},
		});
		return () => {
			peers.clear();
		};
	},
});
