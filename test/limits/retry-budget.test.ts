import {expect} from 'chai';
import type {PlanName} from '#core';
import {
	backoffMaximumMilliseconds, backoffWithFullJitter, earnRetry, initialRetryBudget, spendRetry,
} from '#limits';

const plan = 'rosters' as PlanName;
const other = 'layouts' as PlanName;

type Case = Readonly<{name: string; firstAttempts: number; plans: readonly PlanName[]; retries: number; least: number; most: number}>;

const cases: readonly Case[] = [
	{
		name: 'a plan with little traffic may still retry a few times', firstAttempts: 0, plans: [plan], retries: 100, least: 3, most: 3,
	},
	{
		name: 'retries are limited to a tenth of the first attempts when everything fails (retry storm)', firstAttempts: 1000, plans: [plan], retries: 1, least: 100, most: 105,
	},
	{
		name: 'all plans together cannot exceed the budget of the process', firstAttempts: 0, plans: [plan, other, 'a' as PlanName, 'b' as PlanName], retries: 100, least: 10, most: 10,
	},
];

describe('retry budget', () => {
	for (const {
		name, firstAttempts, plans, retries, least, most,
	} of cases) {
		it(name, () => {
			let budget = initialRetryBudget;
			let allowed = 0;
			const retry = () => {
				for (const retryingPlan of plans) {
					for (let attempt = 0; attempt < retries; attempt++) {
						const decision = spendRetry(budget, retryingPlan);
						budget = decision.budget;
						allowed += decision.isAllowed ? 1 : 0;
					}
				}
			};

			retry();
			for (let count = 0; count < firstAttempts; count++) {
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
