import {systemClock, type ProgramLog} from '#kernel';
import {listenForHttp, type HttpListener} from '#transport';
import {storePlugins} from './plugins.js';
import './routes/index.js';
import {startStoreTask} from './task.js';

/** Starts an HTTP server for the stand-in key-value service. */
export async function serveStore(host: string, port: number, log: ProgramLog): Promise<HttpListener> {
	const store = startStoreTask(systemClock);
	return listenForHttp(host, port, {
		routes: storePlugins.httpRoutes(), context: {store}, log: log.withPrefix('store'), countRefusal() {/* The stand-in does not count refused requests. */},
	});
}
