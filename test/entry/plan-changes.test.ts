import {expect} from 'chai';
import type {Configuration, Plan} from '#configuration';
import type {PlanName} from '#core';
import type {Slice} from '#protocol';
import {receiveSliceMessage} from '../../packages/agent/slice.js';
import {
	initialPlanChanges, listPlanLimits, omitUnchangedPlans, trackPlanChanges,
} from '../../packages/entry/layout/plan-changes.js';

function configurationOf(revision: number, weights: Readonly<Record<string, number>>): Configuration {
	const plans = Object.entries(weights).map(([name, weight]): Plan => ({name: name as PlanName, urgency: 'normal', weight}));
	return {
		revision, plans, allowances: [], changeId: String(revision), changedBy: 'test', changedAt: 0,
	};
}

function sliceOf(configuration: Configuration): Slice {
	return {
		configurationRevision: configuration.revision, layoutRevision: 1, cells: [], plans: listPlanLimits(configuration),
	};
}

const teams = Object.fromEntries(Array.from({length: 590}, (_, index) => [`team-${index}`, 1]));
const history = [
	configurationOf(1, {a: 1, b: 1, c: 1}), configurationOf(2, {a: 1, b: 2, c: 1}), configurationOf(5, {a: 1, b: 2, d: 1}),
];

type Case = Readonly<{
	name: string;
	seen: readonly Configuration[];
	/** Configuration that the agent has; undefined for none. */
	agent: Configuration | undefined;
	/** Plans named in the narrowed slice. */
	sent: readonly string[];
}>;

const cases: readonly Case[] = [
	{
		name: 'an agent one revision behind gets only what changed', seen: history, agent: history[1], sent: ['d'],
	},
	{
		name: 'an agent several revisions behind gets every change in between', seen: history, agent: history[0], sent: ['b', 'd'],
	},
	{
		name: 'an agent without a configuration gets all of it', seen: history, agent: undefined, sent: ['a', 'b', 'd'],
	},
	{
		name: 'an entry that started later than the agent\'s revision sends all of it', seen: history.slice(1), agent: history[0], sent: ['a', 'b', 'd'],
	},
	{
		name: 'a change for one of 590 teams does not repeat the other 589',
		seen: [configurationOf(1, teams), configurationOf(2, {...teams, 'team-7': 3})], agent: configurationOf(1, teams), sent: ['team-7'],
	},
];

describe('changes of plans sent to agents', () => {
	for (const {
		name, seen, agent, sent,
	} of cases) {
		it(name, () => {
			const changes = seen.reduce(trackPlanChanges, initialPlanChanges);
			const latest = sliceOf(seen.at(-1)!);
			const slice = omitUnchangedPlans(latest, changes, agent?.revision ?? 0);
			expect(slice.plans.map(({plan}) => plan)).to.have.members(sent);
			const before = {current: agent === undefined ? undefined : sliceOf(agent)};
			const after = receiveSliceMessage(before, {kind: 'received', slice}).state.current;
			expect(after?.plans).to.have.deep.members([...latest.plans]);
			expect(after?.configurationRevision).to.equal(latest.configurationRevision);
		});
	}

	it('a change that adds to a revision that the agent lacks is not taken', () => {
		const slice: Slice = {...sliceOf(history[2]!), basis: 2};
		expect(receiveSliceMessage({current: sliceOf(history[0]!)}, {kind: 'received', slice}).state.current?.configurationRevision).to.equal(1);
	});
});
