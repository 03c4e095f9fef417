import {createRandomSource, hashText, type Milliseconds} from '#core';
import {
	createCounters, createProgramLog, createServices, startTasks, systemClock, type RunningDaemon, pause,
} from '#kernel';
import {listenForHttp, listenForPeers} from '#transport';
import {coordinatorPlugins} from './plugins.js';
import './plugins/index.js';
import {directoryService, listEntries} from './plugins/directory.js';
import {leadershipService} from './plugins/leadership.js';
import {leaseService} from './plugins/lease.js';
import {drainingService} from './plugins/operations.js';
import {frontEndsService} from './plugins/front-ends.js';
import type {CoordinatorSettings} from './settings.js';
import type {CoordinatorContext} from './types.js';

/** Part of the time between SIGTERM and SIGKILL in which the entry serves on. */
const servingShareOfGrace = 0.7;

/** How often a stopping entry looks for another one. */
const successorPollMilliseconds = 50;

/** Lets another entry schedule as soon as there is one; during a restart of all entries this may take a while. */
async function handOver(timeout: Milliseconds, context: CoordinatorContext): Promise<void> {
	const {clock, services, settings} = context;
	const deadline = clock.monotonic() + timeout;
	const hasSuccessor = () => listEntries(services.use(directoryService).read()).some(({entry}) => entry !== settings.entry);
	while (!hasSuccessor() && clock.monotonic() < deadline) {
		await pause(clock, successorPollMilliseconds);
	}

	services.use(leadershipService).send({kind: 'resign'});
	await services.use(leaseService).stop();
}

/** Starts an entry that schedules jobs of steps. A platform's plug-ins have to be imported before. */
export async function startCoordinator(settings: CoordinatorSettings): Promise<RunningDaemon> {
	const log = createProgramLog('dotterelnotch-entry', settings['log-level'], {entry: settings.entry});
	const context: CoordinatorContext = {
		settings,
		clock: systemClock,
		random: createRandomSource(hashText(settings.entry)),
		log,
		counters: createCounters(),
		services: createServices(),
	};
	const stopTasks = startTasks(coordinatorPlugins, context);
	const [peerPort = 0] = settings['peer-ports'];
	const peers = await listenForPeers(settings['listen-host'], peerPort, {
		registry: coordinatorPlugins, context, clock: systemClock, log: log.part('peers'),
	});
	const http = await listenForHttp(settings['listen-host'], settings['metrics-port'], {
		routes: coordinatorPlugins.httpRoutes(), context, log: log.part('http'), countRefusal: context.counters.countRefusal,
	});
	const fronts = context.services.use(frontEndsService);
	await fronts.open();
	log.part('entry').info({peerPort, metricsPort: http.port, zone: settings.zone}, 'started');
	return {
		ports: {peers: peers.port, metrics: http.port},
		onReload() {
			log.part('entry').info({}, 'reload asked for; settings are read at the start only, so that nothing changes');
		},
		async stop() {
			context.services.use(drainingService).begin();
			const servingMilliseconds = settings['grace-seconds'] * 1000 * servingShareOfGrace;
			log.part('entry').info({servingMilliseconds}, 'stopping; reporting not ready');
			await Promise.all([handOver(servingMilliseconds, context), fronts.drain(servingMilliseconds)]);
			stopTasks();
			peers.close();
			log.part('entry').info({}, 'stopped');
		},
	};
}
