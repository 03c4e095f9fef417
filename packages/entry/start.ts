import process from 'node:process';
import {createRandomSource, hashText} from '#core';
import {
	containUnexpectedErrors, createCounters, createProgramLog, createServices, startTasks, systemClock, type RunningDaemon,
} from '#kernel';
import {
	listenForHttp, listenForPeers, limitsOfPeers, limitsOfRequests,
} from '#transport';
import {entryPlugins} from './plugins.js';
import './plugins/index.js';
import {entryLeaseService} from './plugins/entry-lease.js';
import {drainingService} from './plugins/operations.js';
import {requestsService} from './plugins/requests.js';
import type {EntrySettings} from './settings.js';
import type {EntryContext, ListeningPorts} from './types.js';

/** Starts an entry. */
export async function startEntry(settings: EntrySettings): Promise<RunningDaemon> {
	const log = createProgramLog('dotterelnotch-entry', settings['log-level'], {entry: settings.entry});
	let resolveListening: (ports: ListeningPorts) => void = () => undefined;
	const context: EntryContext = {
		settings,
		clock: systemClock,
		// Includes the entry's name; entries with the same seed setting would otherwise draw the same delays and contact the store all at once after an outage.
		random: createRandomSource(hashText(`${settings.seed} ${settings.entry}`)),
		log,
		counters: createCounters(),
		services: createServices(),
		listening: new Promise(resolve => {
			resolveListening = resolve;
		}),
	};
	const stopTasks = startTasks(entryPlugins, context);
	const peers = await listenForPeers(settings['listen-host'], settings['peer-port'], {
		registry: entryPlugins, context, clock: systemClock, log: log.withPrefix('peers'), limits: limitsOfPeers(settings), countRefusal: context.counters.countRefusal,
	});
	const http = await listenForHttp(settings['listen-host'], settings['listen-port'], {
		routes: entryPlugins.httpRoutes(),
		context,
		log: log.withPrefix('http'),
		countRefusal: context.counters.countRefusal,
		limits: limitsOfRequests(settings),
	});
	resolveListening({callers: http.port, peers: peers.port});
	containUnexpectedErrors(process, context);
	log.withPrefix('entry').info({port: http.port, peerPort: peers.port}, 'listening');
	return {
		ports: {http: http.port, peers: peers.port},
		async stop() {
			context.services.use(drainingService).begin();
			log.withPrefix('entry').info({noticeMilliseconds: settings['notice-milliseconds']}, 'draining; reporting not ready');
			await new Promise<void>(resolve => {
				context.clock.schedule(settings['notice-milliseconds'], resolve);
			});
			await http.drain();
			await context.services.use(requestsService).waitUntilSettled();
			await context.services.use(entryLeaseService).stop();
			stopTasks();
			peers.close();
		},
	};
}
