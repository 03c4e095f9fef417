import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {
	initialMembershipState, receiveMembershipMessage, type MembershipMessage, type MembershipState,
} from '#membership';
import {probeIntervalMilliseconds} from '#protocol';
import {entryPlugins} from '../plugins.js';
import {connectionsService} from './connections.js';

const probeTimeoutMilliseconds = 3000;

/** The task that owns the membership of the zone's agents. */
export const membershipService = createServiceKey<TaskHandle<MembershipState, MembershipMessage>>('membership');

entryPlugins.register({
	kind: 'task',
	name: 'membership',
	start({clock, services}) {
		const membership = startTask(
			{name: 'membership', initialState: initialMembershipState, receive: receiveMembershipMessage},
			{
				clock,
				perform({worker, incarnation}, send) {
					void (async () => {
						const reply = await services.use(connectionsService).read().peers.get(worker)?.call('probe', {}, probeTimeoutMilliseconds);
						if (reply?.kind !== 'answered') {
							send({kind: 'probe-failed', worker, incarnation});
						}
					})();
				},
			},
		);
		services.provide(membershipService, membership);
		let stopTimer: () => void = () => undefined;
		const tick = () => {
			membership.send({kind: 'tick'});
			stopTimer = clock.schedule(probeIntervalMilliseconds, tick);
		};

		tick();
		return () => {
			stopTimer();
			membership.stop();
		};
	},
});
