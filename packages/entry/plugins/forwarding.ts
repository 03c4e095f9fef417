import {createPendingReplies, createServiceKey, startTask} from '#kernel';
import {entryPlugins} from '../plugins.js';
import {
	forwardTargetsService, reserveLinkBytes, type ForwardTarget, type LinkUsage,
} from '../requests/forwarding.js';
import {entriesService} from './entries.js';

export type LinkService = Readonly<{
	/** Reserves bytes on the link between regions; they are counted only if the limit allows them. */
	reserve(bytes: number): Promise<boolean>;
	/** Counts bytes received over the link, even beyond the limit. */
	charge(bytes: number): void;
}>;

/** The task that limits the bytes that forwarding uses on the link between regions. */
export const linkService = createServiceKey<LinkService>('link');

type LinkMessage =
	| Readonly<{kind: 'reserve'; bytes: number; replyId: number}>
	| Readonly<{kind: 'charge'; bytes: number}>;
type LinkEffect = Readonly<{kind: 'answer'; replyId: number; isAllowed: boolean}>;

entryPlugins.register({
	kind: 'task',
	name: 'forwarding',
	start({clock, services, settings, counters}) {
		const replies = createPendingReplies<boolean>();
		const link = startTask<LinkUsage, LinkMessage, LinkEffect>({
			name: 'link',
			initialState: {windowStartedAt: 0, bytes: 0},
			receive(state, message, {monotonic}) {
				switch (message.kind) {
					case 'reserve': {
						const {isAllowed, usage} = reserveLinkBytes(state, {bytes: message.bytes, bytesPerSecond: settings['forward-bytes-per-second'], monotonic});
						return {state: usage, effects: [{kind: 'answer', replyId: message.replyId, isAllowed}]};
					}

					case 'charge': {
						return {state: {...state, bytes: state.bytes + message.bytes}, effects: []};
					}
				}
			},
		}, {
			clock,
			perform({replyId, isAllowed}) {
				replies.resolve(replyId, isAllowed);
			},
		});
		services.provide(linkService, {
			async reserve(bytes) {
				const isAllowed = await replies.request(replyId => {
					link.send({kind: 'reserve', bytes, replyId});
				});
				counters.countEvent(isAllowed ? 'forwarded-bytes-between-regions' : 'forwarding-limited', isAllowed ? bytes : 1);
				return isAllowed;
			},
			charge(bytes) {
				counters.countEvent('answered-bytes-between-regions', bytes);
				link.send({kind: 'charge', bytes});
			},
		});
		services.provide(forwardTargetsService, {
			list() {
				const {links, records} = services.use(entriesService).read();
				return [...links].flatMap(([entry, {peer, summary}]): readonly ForwardTarget[] => {
					const record = records.get(entry);
					return record === undefined
						? []
						: [{
							entry, zone: record.zone, region: record.region, peer, workers: summary?.workers,
						}];
				});
			},
		});
		return () => {
			link.stop();
		};
	},
});
