import process from 'node:process';
import {createRandomSource, hashText, type Milliseconds} from '#core';
import {
	containUnexpectedErrors, createCounters, createProgramLog, createServices, startTasks, systemClock, type RunningDaemon, sleep,
} from '#kernel';
import {
	listenForHttp, listenForPeers, limitsOfPeers, limitsOfOperations,
} from '#transport';
import {coordinatorPlugins} from './plugins.js';
import './plugins/index.js';
import {directoryService, listEntries} from './plugins/directory.js';
import {leadershipService} from './plugins/leadership.js';
import {leaseService} from './plugins/lease.js';
import {drainingService} from './plugins/operations.js';
import {frontEndsService} from './plugins/front-ends.js';
import type {CoordinatorSettings} from './settings.js';
import type {CoordinatorContext} from './types.js';

/** Share of the time between SIGTERM and SIGKILL during which the entry keeps serving. */
const servingShareOfGracePeriod = 0.7;

/** Interval at which a stopping entry checks for another one. */
const successorPollMilliseconds = 50;

/** Resigns as soon as another entry is registered, at the latest at the timeout: while all entries restart, there may be no other one for a while. */
async function handOverLeadership(timeout: Milliseconds, context: CoordinatorContext): Promise<void> {
	const {clock, services, settings} = context;
	const deadline = clock.monotonic() + timeout;
	const hasSuccessor = () => listEntries(services.use(directoryService).read()).some(({entry}) => entry !== settings.entry);
	while (!hasSuccessor() && clock.monotonic() < deadline) {
		await sleep(clock, successorPollMilliseconds);
	}

	services.use(leadershipService).send({kind: 'resign'});
	await services.use(leaseService).stop();
}

/** Starts an entry that schedules jobs of steps. A platform's plug-ins must be imported first. */
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
		registry: coordinatorPlugins, context, clock: systemClock, log: log.withPrefix('peers'), limits: limitsOfPeers(settings), countRefusal: context.counters.countRefusal,
	});
	const http = await listenForHttp(settings['listen-host'], settings['metrics-port'], {
		routes: coordinatorPlugins.httpRoutes(), context, log: log.withPrefix('http'), countRefusal: context.counters.countRefusal, limits: limitsOfOperations(settings),
	});
	const frontEnds = context.services.use(frontEndsService);
	await frontEnds.open();
	containUnexpectedErrors(process, context);
	log.withPrefix('entry').info({peerPort, metricsPort: http.port, zone: settings.zone}, 'started');
	return {
		ports: {peers: peers.port, metrics: http.port},
		onReload() {
			log.withPrefix('entry').info({}, 'reload ignored: settings are read only at startup');
		},
		async stop() {
			context.services.use(drainingService).begin();
			const servingMilliseconds = settings['grace-seconds'] * 1000 * servingShareOfGracePeriod;
			log.withPrefix('entry').info({servingMilliseconds}, 'stopping; reporting not ready');
			await Promise.all([handOverLeadership(servingMilliseconds, context), frontEnds.drain(servingMilliseconds)]);
			stopTasks();
			peers.close();
			log.withPrefix('entry').info({}, 'stopped');
		},
	};
}
