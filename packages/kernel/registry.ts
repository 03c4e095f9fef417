import {DuplicatePluginError} from './errors.js';
import type {
	Cancel, CommandPlugin, HttpRoutePlugin, Plugin, RpcMethodPlugin, TaskPlugin,
} from './types.js';

/** Registry of the plug-ins of one program. Each plug-in is registered by the file that defines it. */
export type Registry<Context, Peer = never> = Readonly<{
	program: string;
	register(plugin: Plugin<Context, Peer>): void;
	httpRoutes(): ReadonlyArray<HttpRoutePlugin<Context>>;
	rpcMethods(): ReadonlyArray<RpcMethodPlugin<Context, Peer>>;
	tasks(): ReadonlyArray<TaskPlugin<Context>>;
	commands(): ReadonlyArray<CommandPlugin<Context>>;
}>;

/**
Creates the plug-in registry of a program.

@example
```
export const agentPlugins = createRegistry<AgentContext, EntryPeer>('agent');
agentPlugins.register({kind: 'rpc-method', name: 'request.find', parametersSchema, handle});
```
*/
export function createRegistry<Context, Peer = never>(program: string): Registry<Context, Peer> {
	const plugins = new Map<string, Plugin<Context, Peer>>();
	const listByKind = <Kind extends Plugin<Context, Peer>['kind']>(kind: Kind) =>
		[...plugins.values()].filter((plugin): plugin is Extract<Plugin<Context, Peer>, {kind: Kind}> => plugin.kind === kind);

	return {
		program,
		register(plugin) {
			const key = `${plugin.kind} ${plugin.name}`;
			if (plugins.has(key)) {
				throw new DuplicatePluginError(program, key);
			}

			plugins.set(key, plugin);
		},
		httpRoutes: () => listByKind('http-route'),
		rpcMethods: () => listByKind('rpc-method'),
		tasks: () => listByKind('task'),
		commands: () => listByKind('command'),
	};
}

/** Starts all registered tasks, adapters first, and returns a function that stops them in reverse order. */
export function startTasks<Context, Peer>(registry: Registry<Context, Peer>, context: Context): Cancel {
	const tasks = registry.tasks();
	const orderedTasks = [...tasks.filter(({isAdapter}) => isAdapter === true), ...tasks.filter(({isAdapter}) => isAdapter !== true)];
	const stopFunctions = orderedTasks.map(task => task.start(context));
	return () => {
		for (const stop of stopFunctions.toReversed()) {
			stop();
		}
	};
}
