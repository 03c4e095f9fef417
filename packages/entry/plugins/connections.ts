import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {
	initialConnectionState, receiveConnectionMessage, type ConnectionMessage, type ConnectionState,
} from '../connections.js';
import {entryPlugins} from '../plugins.js';

/** The task that owns the connections to agents. */
export const connectionsService = createServiceKey<TaskHandle<ConnectionState, ConnectionMessage>>('connections');

entryPlugins.register({
	kind: 'task',
	name: 'connections',
	start({clock, services}) {
		const connections = startTask(
			{name: 'connections', initialState: initialConnectionState, receive: receiveConnectionMessage},
			{clock, perform() {/* The task has no effects. */}},
		);
		services.provide(connectionsService, connections);
		return () => {
			connections.stop();
		};
	},
});
