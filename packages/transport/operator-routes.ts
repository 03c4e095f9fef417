import * as valibot from 'valibot';
import {
	logLevels, type Counters, type LogLevel, type ProgramLog, type Registry,
} from '#kernel';

const logLevelSchema = valibot.object({level: valibot.picklist(logLevels, 'must be debug, info, warn or error')});

/** Part of a program's context that the operator routes use. */
export type OperatorRoutesContext = Readonly<{log: ProgramLog; counters: Counters}>;

/** Whether a program accepts work; `reason` states why it does not. Example: `draining`. */
export type Readiness =
	| Readonly<{kind: 'ready'}>
	| Readonly<{kind: 'not-ready'; reason: string}>;

/**
Registers the routes that operators and the platform's load balancer use on every daemon: `GET /healthz`, `GET /readyz`, `GET /metrics` and `PUT /v1/log-level`.

@param readReadiness - Called on each `GET /readyz`; a program is not ready while it is draining or has no configuration yet.

@example
```
registerOperatorRoutes(agentPlugins, ({services}) => isDraining(services) ? {kind: 'not-ready', reason: 'draining'} : {kind: 'ready'});
```
*/
export function registerOperatorRoutes<Context extends OperatorRoutesContext, Peer>(
	registry: Registry<Context, Peer>,
	readReadiness: (context: Context) => Readiness,
): void {
	registry.register({
		kind: 'http-route',
		name: 'healthz',
		method: 'GET',
		path: '/healthz',
		handle: async () => ({kind: 'json', status: 200, body: {status: 'healthy'}}),
	});

	registry.register({
		kind: 'http-route',
		name: 'readyz',
		method: 'GET',
		path: '/readyz',
		async handle(_request, context) {
			const readiness = readReadiness(context);
			return readiness.kind === 'ready'
				? {kind: 'json', status: 200, body: {status: 'ready'}}
				: {kind: 'json', status: 503, body: {status: 'not-ready', reason: readiness.reason}};
		},
	});

	registry.register({
		kind: 'http-route',
		name: 'metrics',
		method: 'GET',
		path: '/metrics',
		handle: async (_request, {counters}) => ({
			kind: 'text', status: 200, body: await counters.exposition(), contentType: 'text/plain; version=0.0.4; charset=utf-8',
		}),
	});

	registry.register({
		kind: 'http-route',
		name: 'log-level',
		method: 'PUT',
		path: '/v1/log-level',
		bodySchema: logLevelSchema,
		async handle({body}, {log}) {
			const {level} = body as Readonly<{level: LogLevel}>;
			log.setLevel(level);
			log.withPrefix('operations').info({level}, 'log level changed');
			return {kind: 'json', status: 200, body: {level}};
		},
	});
}
