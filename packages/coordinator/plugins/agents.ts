import {createServiceKey} from '#kernel';
import type {SchedulerReference} from '#protocol';
import type {AgentName} from '#scheduling';
import type {RpcPeer} from '#transport';
import {orderTimeoutMilliseconds} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import {schedulerService} from './scheduler.js';

/** Connections of the agents that are attached to this entry. */
export type AttachedAgents = Readonly<{
	attach(agent: AgentName, peer: RpcPeer): void;
	find(agent: AgentName): RpcPeer | undefined;
	/** Notifies every attached agent of the current scheduler. */
	announceScheduler(scheduler: SchedulerReference): void;
}>;

export const agentsService = createServiceKey<AttachedAgents>('agents');

coordinatorPlugins.register({
	kind: 'task',
	name: 'agents',
	start({services, log, counters}) {
		const peers = new Map<AgentName, RpcPeer>();
		services.provide(agentsService, {
			attach(agent, peer) {
				if (peers.get(agent) === peer) {
					return;
				}

				peers.set(agent, peer);
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
			},
			find: agent => peers.get(agent),
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
