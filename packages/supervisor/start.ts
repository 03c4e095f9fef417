import {randomUUID} from 'node:crypto';
import {createRandomSource, hashText} from '#core';
import {
	createCounters, createProgramLog, createServices, startTasks, systemClock, type RunningDaemon,
} from '#kernel';
import {listenForHttp} from '#transport';
import {supervisorPlugins} from './plugins.js';
import './plugins/index.js';
import {announcementsPort} from './ports.js';
import type {SupervisorSettings} from './settings.js';
import type {SupervisorContext} from './types.js';

/** Starts an agent that keeps the runs of one worker alive. A platform's plug-ins have to be imported before. */
export async function startSupervisor(settings: SupervisorSettings): Promise<RunningDaemon> {
	const log = createProgramLog('dotterelnotch-agent', settings['log-level'], {agent: settings.agent});
	const context: SupervisorContext = {
		settings,
		clock: systemClock,
		random: createRandomSource(hashText(settings.agent)),
		log,
		counters: createCounters(),
		services: createServices(),
		process: randomUUID(),
	};
	const stopTasks = startTasks(supervisorPlugins, context);
	const http = await listenForHttp(settings['listen-host'], settings['metrics-port'], {
		routes: supervisorPlugins.httpRoutes(), context, log: log.part('http'), countRefusal: context.counters.countRefusal,
	});
	const announcements = context.services.use(announcementsPort);
	await announcements.open();
	log.part('agent').info({metricsPort: http.port, worker: settings['worker-address']}, 'started');
	return {
		ports: {metrics: http.port},
		onReload() {
			log.part('agent').info({}, 'reload asked for; settings are read at the start only, so that nothing changes');
		},
		async stop() {
			log.part('agent').info({}, 'stopping; the worker keeps its runs until their leases end or another agent renews them');
			stopTasks();
			await announcements.close();
			log.part('agent').info({}, 'stopped');
		},
	};
}
