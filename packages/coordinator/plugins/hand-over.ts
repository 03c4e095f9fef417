import {emptySchema, takeOverParametersSchema} from '#protocol';
import type {RpcPeer} from '#transport';
import {
	entryCallTimeoutMilliseconds, outageBeforeHandOverMilliseconds, outageCheckIntervalMilliseconds, successorRetryMilliseconds,
} from '../constants.js';
import {epochKey} from '../keys.js';
import {coordinatorPlugins} from '../plugins.js';
import {storeMonitorService, storePort} from '../ports.js';
import type {CoordinatorContext} from '../types.js';
import {entryPeersService} from './entry-peers.js';
import {handOverService, leadershipService} from './leadership.js';
import {leaseService} from './lease.js';

/** Hands the term over while the store answers other entries but not this one. Otherwise no job would start until this entry's lease ends. */
coordinatorPlugins.register({
	kind: 'task',
	name: 'hand-over',
	start(context) {
		const {services, clock} = context;
		let successor: RpcPeer | undefined;
		let isStopped = false;
		services.provide(handOverService, {
			offer(ended) {
				void successor?.call('entry.take-over', ended, entryCallTimeoutMilliseconds);
			},
		});

		const handOver = async () => {
			successor = await findSuccessor(context);
			const outage = services.use(storeMonitorService).measureOutage();
			if (successor !== undefined && outage > 0) {
				context.counters.countRetry('term-handed-over');
				context.log.withPrefix('leadership').warn({outageMilliseconds: Math.round(outage), successor: successor.address}, 'handing over to an entry that reaches the store');
				services.use(leadershipService).send({kind: 'hand-over', reason: 'the store answers other entries only'});
			}
		};

		const tick = async () => {
			const isCutOff = services.use(leadershipService).read().term !== undefined && services.use(storeMonitorService).measureOutage() >= outageBeforeHandOverMilliseconds;
			if (isCutOff) {
				await handOver();
			}

			if (!isStopped) {
				clock.schedule(isCutOff ? successorRetryMilliseconds : outageCheckIntervalMilliseconds, () => {
					void tick();
				});
			}
		};

		void tick();
		return () => {
			isStopped = true;
		};
	},
});

/** Finds the entry that first confirms that it reaches the store. */
async function findSuccessor({services}: CoordinatorContext): Promise<RpcPeer | undefined> {
	const peers = services.use(entryPeersService).list();
	return new Promise(resolve => {
		const queries = peers.map(async peer => {
			const reply = await peer.call('entry.check-store', {}, entryCallTimeoutMilliseconds);
			if (reply.kind === 'answered' && reply.result.canSchedule) {
				resolve(peer);
			}
		});
		void Promise.all(queries).then(() => {
			resolve(undefined);
		});
	});
}

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'entry.check-store',
	parametersSchema: emptySchema,
	async handle(_parameters, {services}) {
		const isCandidate = services.use(leaseService).getValid() !== undefined
			&& !services.use(storeMonitorService).isFailing()
			&& !services.use(leadershipService).read().hasResigned;
		const reply = isCandidate ? await services.use(storePort).read(epochKey) : undefined;
		return {canSchedule: reply !== undefined && reply.kind !== 'unavailable'};
	},
});

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'entry.take-over',
	parametersSchema: takeOverParametersSchema,
	async handle(parameters, {services}) {
		services.use(leadershipService).send({kind: 'offered', ...(parameters as Readonly<{epoch: number; leaderVersion: number}>)});
		return {};
	},
});
