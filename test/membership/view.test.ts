import {expect} from 'chai';
import type {Incarnation, WorkerId} from '#core';
import {
	initialMembershipState, isAvailable, receiveMembershipMessage, type MembershipMessage, type MembershipState,
} from '#membership';

const worker = 'worker-1' as WorkerId;
const load = {
	shortQueued: 0, shortRunning: 0, longQueued: 0, longRunning: 0, started: 0, failed: 0,
};

function announce(incarnation: string, isLeaving = false): MembershipMessage {
	const agent: unknown = {
		worker, incarnation, rack: 'rack-1', capacity: {slots: 8}, load, holdings: [], isLeaving, configurationRevision: 1, layoutRevision: 1,
	};
	return {kind: 'announced', agent: agent as Extract<MembershipMessage, {kind: 'announced'}>['agent']};
}

const report = (incarnation: string): MembershipMessage => ({
	kind: 'reported', worker, incarnation: incarnation as Incarnation, load: {...load, longQueued: 7}, configurationRevision: 2, layoutRevision: 1,
});
const agentMessage = (kind: 'leaving' | 'disconnected' | 'probe-failed', incarnation: string): MembershipMessage => ({kind, worker, incarnation: incarnation as Incarnation});

type Case = Readonly<{
	name: string;
	messages: ReadonlyArray<Readonly<[at: number, message: MembershipMessage]>>;
	at: number;
	incarnation: string | undefined;
	available: boolean;
	probes?: number;
}>;

const cases: readonly Case[] = [
	{
		name: 'an announced agent is available', messages: [[0, announce('a')]], at: 0, incarnation: 'a', available: true,
	},
	{
		name: 'an agent that is leaving becomes unavailable at once', messages: [[0, announce('a')], [1, agentMessage('leaving', 'a')]], at: 1, incarnation: 'a', available: false,
	},
	{
		name: 'an announcement that arrives after the leaving message does not make the agent available again',
		messages: [[0, announce('a')], [1, agentMessage('leaving', 'a')], [2, announce('a')]], at: 2, incarnation: 'a', available: false,
	},
	{
		name: 'an agent without a report for three intervals is unavailable', messages: [[0, announce('a')]], at: 6000, incarnation: 'a', available: false,
	},
	{
		name: 'a report makes a stale agent available again', messages: [[0, announce('a')], [7000, report('a')]], at: 7000, incarnation: 'a', available: true,
	},
	{
		name: 'an agent whose report is overdue is probed', messages: [[0, announce('a')], [3000, {kind: 'tick'}]], at: 3000, incarnation: 'a', available: true, probes: 1,
	},
	{
		name: 'an agent that fails its probe is removed',
		messages: [[0, announce('a')], [3000, {kind: 'tick'}], [6000, agentMessage('probe-failed', 'a')]], at: 6000, incarnation: undefined, available: false, probes: 1,
	},
	{
		name: 'a restarted agent replaces its earlier incarnation', messages: [[0, announce('a')], [1, announce('b')]], at: 1, incarnation: 'b', available: true,
	},
	{
		name: 'a late announcement of an earlier incarnation is ignored', messages: [[0, announce('a')], [1, announce('b')], [2, announce('a')]], at: 2, incarnation: 'b', available: true,
	},
	{
		name: 'an earlier incarnation that reconnects after its successor has announced itself is ignored (calls for one process sent to another)',
		messages: [[0, announce('a')], [1, agentMessage('disconnected', 'a')], [2, announce('b')], [3, announce('a', true)]],
		at: 3,
		incarnation: 'b',
		available: true,
	},
	{
		name: 'an incarnation is not excluded because an earlier one reconnected (worker without work until the next restart of its agent)',
		messages: [
			[0, announce('a')],
			[1, agentMessage('probe-failed', 'a')],
			[2, announce('b')],
			[3, announce('a', true)],
			[4, agentMessage('disconnected', 'a')],
			[5, announce('b')],
		],
		at: 5,
		incarnation: 'b',
		available: true,
	},
	{
		name: 'an incarnation that is leaving does not replace one that is not (worker without work until the next restart of its agent)',
		messages: [[0, announce('b')], [1, announce('a', true)], [2, announce('b')]],
		at: 2,
		incarnation: 'b',
		available: true,
	},
	{
		name: 'an incarnation that is leaving is listed if no other one is known (member of a gang reported as gone)',
		messages: [[0, announce('a', true)]],
		at: 0,
		incarnation: 'a',
		available: false,
	},
	{
		name: 'an incarnation that reconnects is available again while no other one has announced itself (worker without work)',
		messages: [[0, announce('a')], [1, agentMessage('disconnected', 'a')], [2, announce('a')]],
		at: 2,
		incarnation: 'a',
		available: true,
	},
	{
		name: 'a late disconnect of an earlier incarnation is ignored',
		messages: [[0, announce('a')], [1, announce('b')], [2, agentMessage('disconnected', 'a')]], at: 2, incarnation: 'b', available: true,
	},
];

describe('view of the agents', () => {
	for (const {name, messages, at, incarnation, available, probes = 0} of cases) {
		it(name, () => {
			let state: MembershipState = initialMembershipState;
			let probed = 0;
			for (const [monotonic, message] of messages) {
				const step = receiveMembershipMessage(state, message, {monotonic});
				state = step.state;
				probed += step.effects.length;
			}

			const agent = state.agents.get(worker);
			expect(agent?.incarnation).to.equal(incarnation);
			expect(state.available.some(listed => isAvailable(listed, at))).to.equal(available);
			expect(probed).to.equal(probes);
		});
	}
});
