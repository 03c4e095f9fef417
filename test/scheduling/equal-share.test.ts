/** Order of teams in a full pool. */
import {expect} from 'chai';
import type {TenantName} from '#jobs';
import {
	createReadyDriver, oneStep, snapshotOf, startsOf, submissionOf, taskOf, type Driver,
} from '#test/support/scheduling';

type Arrival = Readonly<{team: string; priority?: number; submittedAt?: number}>;

type Case = Readonly<{
	name: string;
	/** In order of their numbers, from 1. */
	arrivals: readonly Arrival[];
	/** Number of the job that starts once a third worker has room for one; the surging team holds the others. */
	next: number;
}>;

const surge: readonly Arrival[] = Array.from({length: 5}, () => ({team: 'surging'}));

const cases: readonly Case[] = [
	{name: 'another team goes before a surge that came earlier (team locked out by another one)', arrivals: [...surge, {team: 'usual'}], next: 6},
	{name: 'three jobs are no surge (order that changes with every job)', arrivals: [...surge.slice(0, 3), {team: 'usual'}], next: 1},
	{name: 'teams with equal work keep the order of arrival (order that changes with every job)', arrivals: [...surge, ...[...surge, ...surge].map(() => ({team: 'usual'}))], next: 1},
	{name: 'one of two teams may hold more than the other (team delayed because there is only one other)', arrivals: [...surge, ...surge.slice(1).map(() => ({team: 'usual'}))], next: 1},
	{name: 'a higher rank stays first (urgent work behind usual work)', arrivals: [...surge.map(arrival => ({...arrival, priority: 1})), {team: 'usual'}], next: 1},
	{name: 'late work of others does not go first (surge that becomes late as well)', arrivals: [...surge, {team: 'usual', submittedAt: -60_000}], next: 1},
];

const submit = (driver: Driver, number: number, {team, priority = 2, submittedAt = number}: Arrival) => {
	const submission = submissionOf(number, [{...oneStep, accelerators: 8, isCheckpointing: true}], {priority, submittedAt});
	driver.send({kind: 'submitted', submission: {...submission, tenant: team as TenantName}});
};

describe('order of teams in a full pool', () => {
	for (const {name, arrivals, next} of cases) {
		it(name, () => {
			const driver = createReadyDriver([['a'], ['b']]);
			for (const running of [101, 102]) {
				submit(driver, running, {team: 'surging', priority: 0, submittedAt: 0});
			}

			for (const [index, arrival] of arrivals.entries()) {
				submit(driver, index + 1, arrival);
			}

			const started = startsOf(driver.send({kind: 'renewed', agent: 'c', snapshot: snapshotOf('c')}));
			expect(started.map(({task}) => task)).to.deep.equal([taskOf(next)]);
		});
	}
});
