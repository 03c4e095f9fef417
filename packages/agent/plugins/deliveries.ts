import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {deliveryTickMilliseconds} from '../constants.js';
import {
	initialDeliveryState, receiveDeliveryMessage, type DeliveryMessage, type DeliveryState,
} from '../deliveries.js';
import {agentPlugins} from '../plugins.js';
import type {AgentContext} from '../types.js';

/** Task that tracks undelivered answers. */
export const deliveriesService = createServiceKey<TaskHandle<DeliveryState, DeliveryMessage>>('deliveries');

agentPlugins.register({
	kind: 'task',
	name: 'deliveries',
	start({clock, services}) {
		const deliveries = startTask<DeliveryState, DeliveryMessage, never>(
			{name: 'deliveries', initialState: initialDeliveryState, receive: receiveDeliveryMessage},
			{clock, perform() {/* The task has no effects. */}},
		);
		services.provide(deliveriesService, deliveries);
		return () => {
			deliveries.stop();
		};
	},
});

/** Waits until every undelivered answer has been queried or its grace period is over. */
export async function waitForDeliveries({clock, services}: AgentContext): Promise<void> {
	const deliveries = services.use(deliveriesService);
	deliveries.send({kind: 'tick'});
	while (deliveries.read().undelivered.size > 0) {
		await new Promise<void>(resolve => {
			clock.schedule(deliveryTickMilliseconds, resolve);
		});
		deliveries.send({kind: 'tick'});
	}
}
