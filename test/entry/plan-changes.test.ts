import {expect} from 'chai';
import type {Configuration, Plan} from '#configuration';
import type {PlanName} from '#core';
import type {Slice} from '#protocol';
import {receiveSliceMessage} from '../../packages/agent/slice.js';
import {
	initialPlanChanges, listPlanLimits, omitUnchangedPlans, trackPlanChanges,
} from '../../packages/entry/layout/plan-changes.js';

function createConfiguration(revision: number, weights: Readonly<Record<string, number>>): Configuration {
	const plans = Object.entries(weights).map(([name, weight]): Plan => ({name: name as PlanName, urgency: 'normal', weight}));
	return {
		revision, plans, allowances: [], changeId: String(revision), changedBy: 'test', changedAt: 0,
	};
}

function createSlice(configuration: Configuration): Slice {
	return {
		configurationRevision: configuration.revision, layoutRevision: 1, cells: [], plans: listPlanLimits(configuration),
	};
}

const teams = Object.fromEntries(Array.from({length: 590}, (_, index) => [`team-${index}`, 1]));
const history = [
	createConfiguration(1, {a: 1, b: 1, c: 1}), createConfiguration(2, {a: 1, b: 2, c: 1}), createConfiguration(5, {a: 1, b: 2, d: 1}),
];

type Case = Readonly<{
	name: string;
	observed: readonly Configuration[];
	/** Configuration that the agent has; undefined for none. */
	agent: Configuration | undefined;
	/** Plans in the slice that is sent. */
	sent: readonly string[];
}>;

const cases: readonly Case[] = [
	{
		name: 'an agent one revision behind receives only the changed plans', observed: history, agent: history[1], sent: ['d'],
	},
	{
		name: 'an agent several revisions behind receives the changes of all revisions since', observed: history, agent: history[0], sent: ['b', 'd'],
	},
	{
		name: 'an agent without a configuration receives all plans', observed: history, agent: undefined, sent: ['a', 'b', 'd'],
	},
	{
		name: 'an entry that started after the agent\'s revision sends all plans', observed: history.slice(1), agent: history[0], sent: ['a', 'b', 'd'],
	},
	{
		name: 'a change of one of 590 teams does not resend the other 589',
		observed: [createConfiguration(1, teams), createConfiguration(2, {...teams, 'team-7': 3})], agent: createConfiguration(1, teams), sent: ['team-7'],
	},
];

describe('changes of plans sent to agents', () => {
	for (const {
		name, observed, agent, sent,
	} of cases) {
		it(name, () => {
			const changes = observed.reduce(trackPlanChanges, initialPlanChanges);
			const latest = createSlice(observed.at(-1)!);
			const slice = omitUnchangedPlans(latest, changes, agent?.revision ?? 0);
			expect(slice.plans.map(({plan}) => plan)).to.have.members(sent);
			const before = {current: agent === undefined ? undefined : createSlice(agent)};
			const after = receiveSliceMessage(before, {kind: 'received', slice}).state.current;
			expect(after?.plans).to.have.deep.members([...latest.plans]);
			expect(after?.configurationRevision).to.equal(latest.configurationRevision);
		});
	}

	it('a slice based on a revision that the agent does not have is ignored', () => {
		const slice: Slice = {...createSlice(history[2]!), basis: 2};
		expect(receiveSliceMessage({current: createSlice(history[0]!)}, {kind: 'received', slice}).state.current?.configurationRevision).to.equal(1);
	});
});
