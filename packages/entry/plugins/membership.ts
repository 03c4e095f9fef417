import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {
	initialMembershipState, receiveMembershipMessage, type MembershipMessage, type MembershipState,
} from '#membership';
import {entryPlugins} from '../plugins.js';

/** The task that owns the view of the zone's agents. */
export const membershipService = createServiceKey<TaskHandle<MembershipState, MembershipMessage>>('membership');

entryPlugins.register({
	kind: 'task',
	name: 'membership',
	start({clock, services}) {
		const membership = startTask(
			{name: 'membership', initialState: initialMembershipState, receive: receiveMembershipMessage},
			{clock, perform() {/* The task only keeps state. */}},
		);
		services.provide(membershipService, membership);
		return () => {
			membership.stop();
		};
	},
});
