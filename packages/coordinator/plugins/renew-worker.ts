import {renewWorkerParametersSchema, type EndedIncarnation} from '#protocol';
import {grantValidityMilliseconds} from '#scheduling';
import type {WorkerSnapshot} from '#jobs';
import {findScheduler, listEntryAddresses} from '../addresses.js';
import {coordinatorPlugins} from '../plugins.js';
import {agentsService, createReplacedConnectionError} from './agents.js';
import {holdsLeadership, leadershipService} from './leadership.js';
import {schedulerService} from './scheduler.js';

type Renewal = Readonly<{agent: string; snapshot?: WorkerSnapshot; left?: EndedIncarnation; epoch: number}>;

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'worker.renew',
	parametersSchema: renewWorkerParametersSchema,
	async handle(parameters, context, peer) {
		const {agent, snapshot, left, epoch} = parameters as Renewal;
		const leadership = context.services.use(leadershipService);
		const scheduler = context.services.use(schedulerService);
		const agents = context.services.use(agentsService);
		if (!agents.attach(agent, peer)) {
			throw createReplacedConnectionError();
		}

		leadership.send({kind: 'epoch-observed', epoch});
		const {term, highestEpoch} = leadership.read();
		if (term === undefined || !holdsLeadership(context)) {
			return {
				kind: 'not-scheduler', epoch: highestEpoch, entries: listEntryAddresses(context), scheduler: findScheduler(context),
			};
		}

		if (left !== undefined) {
			scheduler.send({kind: 'incarnation-ended', agent, ...left});
		}

		// A snapshot taken under an earlier epoch may miss runs that an earlier scheduler has started since.
		const process = agents.findProcess(peer);
		scheduler.send({
			kind: 'renewed', agent, ...(process === undefined ? {} : {process}), snapshot: epoch === term.epoch ? snapshot : undefined,
		});
		const worker = scheduler.read()?.workers.get(agent);
		return {
			kind: 'granted',
			epoch: term.epoch,
			// A grant is for the worker that the renewal reported. With one from before, an agent that first hears of its worker could extend leases that the scheduler takes to be over.
			validityMilliseconds: worker?.contact === 'attached' ? grantValidityMilliseconds : 0,
			...(worker === undefined ? {} : {incarnation: worker.snapshot.incarnation}),
			notedEnd: worker?.notedEnd ?? 0,
		};
	},
});
