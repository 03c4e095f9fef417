import {expect} from 'chai';
import type {PlanName} from '#core';
import {
	backoffMaximumMilliseconds, backoffWithFullJitter, earnRetry, initialRetryBudget, spendRetry,
} from '#limits';

const plan = 'rosters' as PlanName;
const other = 'layouts' as PlanName;

type Case = Readonly<{name: string; firstTries: number; plans: readonly PlanName[]; attempts: number; least: number; most: number}>;

const cases: readonly Case[] = [
	{
		name: 'a plan that sent little may still retry a few times', firstTries: 0, plans: [plan], attempts: 100, least: 3, most: 3,
	},
	{
		name: 'retries are a tenth of first tries when everything fails (retry storm)', firstTries: 1000, plans: [plan], attempts: 1, least: 100, most: 105,
	},
	{
		name: 'plans together cannot exceed the budget of the process', firstTries: 0, plans: [plan, other, 'a' as PlanName, 'b' as PlanName], attempts: 100, least: 10, most: 10,
	},
];

describe('retry budget', () => {
	for (const {
		name, firstTries, plans, attempts, least, most,
	} of cases) {
		it(name, () => {
			let budget = initialRetryBudget;
			let allowed = 0;
			const retry = () => {
				for (const name_ of plans) {
					for (let attempt = 0; attempt < attempts; attempt++) {
						const decision = spendRetry(budget, name_);
						budget = decision.budget;
						allowed += decision.isAllowed ? 1 : 0;
					}
				}
			};

			retry();
			for (let count = 0; count < firstTries; count++) {
				budget = earnRetry(budget, plan);
				retry();
			}

			expect(allowed).to.be.within(least, most);
		});
	}

	it('the backoff grows and stays below its bound', () => {
		expect([0, 1, 2, 20].map(attempt => backoffWithFullJitter(attempt, 0.5))).to.deep.equal([25, 50, 100, backoffMaximumMilliseconds / 2]);
	});
});
