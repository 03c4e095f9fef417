import {startTask, systemClock, type ProgramLog} from '#kernel';
import {listenForHttp, type HttpListener} from '#transport';
import {workerPlugins} from './plugins.js';
import './routes/index.js';
import {createWorkerState, receiveWorkerMessage} from './state.js';
import type {WorkerSettings} from './types.js';

export const defaultWorkerSettings: WorkerSettings = {
	rack: 'rack-1', processors: 130, memoryMegabytes: 256_000, accelerators: 8, usageLagMilliseconds: 2000,
};

/** Starts an HTTP server for the stand-in worker. */
export async function serveWorker(host: string, port: number, log: ProgramLog, settings: WorkerSettings = defaultWorkerSettings): Promise<HttpListener> {
	const clock = systemClock;
	const worker = startTask(
		{name: 'worker', initialState: createWorkerState(settings), receive: receiveWorkerMessage},
		{
			clock,
			perform(effect, send) {
				switch (effect.kind) {
					case 'respond': {
						effect.respond(effect.reply);
						break;
					}

					case 'schedule': {
						clock.schedule(effect.delay, () => {
							send(effect.message);
						});
					}
				}
			},
		},
	);
	return listenForHttp(host, port, {
		routes: workerPlugins.httpRoutes(), context: {worker}, log: log.withPrefix('worker'), countRefusal() {/* The stand-in does not count refused requests. */},
	});
}
