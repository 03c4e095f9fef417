import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {createRandomSource, hashText} from '#core';
import {
	containUnexpectedErrors, createCounters, createProgramLog, createServices, startTasks, systemClock, type RunningDaemon,
} from '#kernel';
import {connectToPeer, listenForHttp, limitsOfOperations} from '#transport';
import {supervisorPlugins} from './plugins.js';
import './plugins/index.js';
import {announcementsPort} from './ports.js';
import type {SupervisorSettings} from './settings.js';
import type {SupervisorContext} from './types.js';

/** Starts an agent that supervises one worker. A platform's plug-ins must be imported first. */
export async function startSupervisor(settings: SupervisorSettings): Promise<RunningDaemon> {
	const log = createProgramLog('dotterelnotch-agent', settings['log-level'], {agent: settings.agent});
	const context: SupervisorContext = {
		settings,
		clock: systemClock,
		random: createRandomSource(hashText(settings.agent)),
		log,
		counters: createCounters(),
		services: createServices(),
		connect: connectToPeer,
		process: randomUUID(),
	};
	const stopTasks = startTasks(supervisorPlugins, context);
	const http = await listenForHttp(settings['listen-host'], settings['metrics-port'], {
		routes: supervisorPlugins.httpRoutes(), context, log: log.withPrefix('http'), countRefusal: context.counters.countRefusal, limits: limitsOfOperations(settings),
	});
	const announcements = context.services.use(announcementsPort);
	await announcements.open();
	containUnexpectedErrors(process, context);
	log.withPrefix('agent').info({metricsPort: http.port, worker: settings['worker-address']}, 'started');
	return {
		ports: {metrics: http.port},
		onReload() {
			log.withPrefix('agent').info({}, 'reload ignored: settings are read only at startup');
		},
		async stop() {
			log.withPrefix('agent').info({}, 'stopping; the worker continues its runs until their leases expire or another agent extends them');
			stopTasks();
			await announcements.close();
			log.withPrefix('agent').info({}, 'stopped');
		},
	};
}
