/** A call is forwarded only while its caller waits: what begins after the answer contradicts it. */
import {expect} from 'chai';
import {configurationService, forwardCall, type CoordinatorContext} from '#coordinator';
import type {Milliseconds} from '#core';
import {
	createCounters, createServices, createVirtualClock, sleep, type VirtualClock,
} from '#kernel';
import type {CallerRequest, ForwardedAnswer} from '#protocol';
import type {CallReply, RpcPeer} from '#transport';
import {elapse} from '#test/support/virtual-time';

type PeerReply = Readonly<{after: Milliseconds; reply: CallReply<ForwardedAnswer>}>;

type Case = Readonly<{
	name: string;
	replies: readonly PeerReply[];
	/** Remaining times that were passed on, by the number of the entry. */
	asked: ReadonlyArray<readonly [number, Milliseconds]>;
	answer: ForwardedAnswer['kind'] | undefined;
}>;

const call: CallerRequest = {
	host: 'h', path: '/0/00000000000000a1', timeoutMilliseconds: 3000, action: {kind: 'cancel'},
};
const deadline = 1000;
const refused: CallReply<ForwardedAnswer> = {kind: 'answered', result: {kind: 'refused', reason: 'store-unavailable', retryAfterMilliseconds: 1000}};
const accepted: CallReply<ForwardedAnswer> = {kind: 'answered', result: {kind: 'cancelled'}};

const cases: readonly Case[] = [
	{
		name: 'the next entry is asked with the time that is left (it works on after the answer)', replies: [{after: 300, reply: refused}, {after: 100, reply: accepted}], asked: [[0, 1000], [1, 700]], answer: 'cancelled',
	},
	{
		name: 'no entry is asked once the caller was answered (submission that is stored after its cancellation)', replies: [{after: 1000, reply: refused}, {after: 100, reply: accepted}], asked: [[0, 1000]], answer: undefined,
	},
	{
		name: 'at most two entries are asked (call that occupies all of them)', replies: [{after: 1, reply: refused}, {after: 1, reply: refused}, {after: 1, reply: accepted}], asked: [[0, 1000], [1, 999]], answer: undefined,
	},
];

function createPeer(index: number, {after, reply}: PeerReply, clock: VirtualClock, asked: Array<readonly [number, Milliseconds]>): RpcPeer {
	const peer: unknown = {
		address: `entry-${index}`,
		async call(_method: string, parameters: CallerRequest) {
			asked.push([index, parameters.timeoutMilliseconds]);
			await sleep(clock, after);
			return reply;
		},
	};
	return peer as RpcPeer;
}

describe('forwarding of a call', () => {
	for (const {
		name, replies, asked, answer,
	} of cases) {
		it(name, async () => {
			const clock = createVirtualClock();
			const services = createServices();
			const configuration: unknown = {read: () => ({shown: undefined}), send: () => undefined};
			services.provide(configurationService, configuration as never);
			const context = {services, clock, counters: createCounters()} as unknown as CoordinatorContext;
			const asks: Array<readonly [number, Milliseconds]> = [];
			const peers = replies.map((reply, index) => createPeer(index, reply, clock, asks));
			const forwarding = forwardCall(call, {peers, maximum: 2, deadline}, context);
			await elapse(clock, 3000, 1);
			const answered = await forwarding;
			expect(asks).to.deep.equal(asked);
			expect(answered?.kind).to.equal(answer);
		});
	}
});
