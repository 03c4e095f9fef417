import {startTask, systemClock, type ProgramLog} from '#kernel';
import {listenForHttp, type HttpListener} from '#transport';
import {storePlugins} from './plugins.js';
import './routes/index.js';
import {initialStoreState, receiveStoreMessage} from './state.js';

/** Starts the stand-in key-value service. */
export async function serveStore(host: string, port: number, log: ProgramLog): Promise<HttpListener> {
	const clock = systemClock;
	const store = startTask(
		{name: 'store', initialState: initialStoreState, receive: receiveStoreMessage},
		{
			clock,
			perform(effect, send) {
				switch (effect.kind) {
					case 'respond': {
						effect.respond(effect.reply);
						break;
					}

					case 'schedule-expiry': {
						clock.schedule(effect.delay, () => {
							send({kind: 'watch-expired', watcher: effect.watcher});
						});
					}
				}
			},
		},
	);
	return listenForHttp(host, port, {
		routes: storePlugins.httpRoutes(), context: {store}, log: log.part('store'), countRefusal() {/* The stand-in keeps no counters of refusals. */},
	});
}
