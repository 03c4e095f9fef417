import {startTask, systemClock, type ProgramLog} from '#kernel';
import {listenForHttp, type HttpListener} from '#transport';
import {workerPlugins} from './plugins.js';
import './routes/index.js';
import {initialWorkerState, receiveWorkerMessage} from './state.js';

/** Starts the stand-in worker. */
export async function serveWorker(host: string, port: number, log: ProgramLog): Promise<HttpListener> {
	const clock = systemClock;
	const worker = startTask(
		{name: 'worker', initialState: initialWorkerState, receive: receiveWorkerMessage},
		{
			clock,
			perform(effect, send) {
				switch (effect.kind) {
					case 'respond': {
						effect.respond(effect.reply);
						break;
					}

					case 'schedule-end': {
						clock.schedule(effect.delay, () => {
							send({
								kind: 'ended', taskId: effect.taskId, body: effect.body, state: effect.state,
							});
						});
					}
				}
			},
		},
	);
	return listenForHttp(host, port, {
		routes: workerPlugins.httpRoutes(), context: {worker}, log: log.part('worker'), countRefusal() {/* The stand-in keeps no counters of refusals. */},
	});
}
