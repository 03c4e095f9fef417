import {randomUUID} from 'node:crypto';
import process from 'node:process';
import type {Incarnation, Milliseconds} from '#core';
import {
	containUnexpectedErrors, createCounters, createProgramLog, createServices, startTasks, systemClock, type Clock, type RunningDaemon,
} from '#kernel';
import {listenForHttp} from '#transport';
import {flushTimeoutMilliseconds} from './constants.js';
import {listPeers} from './entries.js';
import {agentPlugins} from './plugins.js';
import {waitForDeliveries} from './plugins/deliveries.js';
import {drainService} from './plugins/drain.js';
import {entriesService} from './plugins/entries.js';
import './plugins/index.js';
import type {AgentSettings} from './settings.js';
import type {AgentContext} from './types.js';

/** Starts an agent. Stopping it drains it first: it exits after its last request has been answered or the drain timeout has expired. */
export async function startAgent(settings: AgentSettings): Promise<RunningDaemon> {
	const log = createProgramLog('dotterelnotch-agent', settings['log-level'], {worker: settings.worker});
	const context: AgentContext = {
		settings,
		incarnation: randomUUID() as string as Incarnation,
		clock: systemClock,
		log,
		counters: createCounters(),
		services: createServices(),
	};
	const stopTasks = startTasks(agentPlugins, context);
	const operations = settings['listen-port'] === 0
		? undefined
		: await listenForHttp(settings['listen-host'], settings['listen-port'], {
			routes: agentPlugins.httpRoutes(), context, log: log.withPrefix('http'), countRefusal: context.counters.countRefusal,
		});
	containUnexpectedErrors(process, context);
	return {
		ports: operations === undefined ? {} : {http: operations.port},
		async stop() {
			log.withPrefix('drain').info({}, 'draining');
			await drain(context);
			stopTasks();
			log.withPrefix('drain').info({}, 'drained');
		},
	};
}

async function drain(context: AgentContext): Promise<void> {
	const {services, clock, settings} = context;
	const entries = services.use(entriesService);
	entries.send({kind: 'leave'});
	await withTimeout(services.use(drainService).drain(), settings['drain-milliseconds'], clock);
	await waitForDeliveries(context);
	// An entry answers a probe only after it has read everything sent before, including the last answers.
	const probes = listPeers(entries.read()).map(async peer => peer.call('probe', {}, flushTimeoutMilliseconds));
	await withTimeout(Promise.all(probes), flushTimeoutMilliseconds, clock);
}

async function withTimeout(work: Promise<unknown>, limit: Milliseconds, clock: Clock): Promise<void> {
	await Promise.race([work, new Promise<void>(resolve => {
		clock.schedule(limit, resolve);
	})]);
}
