import type {Milliseconds, PlanName} from '#core';

/** Retries per first try that a plan, and the process as a whole, may spend. */
export const retryShare = 0.1;
/** Retries that a plan may spend before its first tries have earned any, so that quiet plans can retry at all. */
export const initialRetryTokens = 3;
/** Largest number of retries that a plan can save up. */
export const maximumRetryTokens = 10;
/** The same bounds for the whole process. */
export const initialProcessRetryTokens = 10;
export const maximumProcessRetryTokens = 100;
export const backoffBaseMilliseconds = 50;
export const backoffMaximumMilliseconds = 2000;

/** Saved-up retries; each first try earns `retryShare` of one, each retry costs one. */
export type RetryBudget = Readonly<{process: number; plans: ReadonlyMap<PlanName, number>}>;

export type RetryDecision = Readonly<{isAllowed: boolean; budget: RetryBudget}>;

export const initialRetryBudget: RetryBudget = {process: initialProcessRetryTokens, plans: new Map()};

/** Earns a share of a retry for the plan and the process. */
export function earnRetry(budget: RetryBudget, plan: PlanName): RetryBudget {
	const present = budget.plans.get(plan) ?? initialRetryTokens;
	const earned = Math.min(maximumRetryTokens, present + retryShare);
	return {
		process: Math.min(maximumProcessRetryTokens, budget.process + retryShare),
		plans: earned === present ? budget.plans : new Map(budget.plans).set(plan, earned),
	};
}

/** Spends one retry if both the plan and the process can afford it. */
export function spendRetry(budget: RetryBudget, plan: PlanName): RetryDecision {
	const present = budget.plans.get(plan) ?? initialRetryTokens;
	if (present < 1 || budget.process < 1) {
		return {isAllowed: false, budget};
	}

	return {isAllowed: true, budget: {process: budget.process - 1, plans: new Map(budget.plans).set(plan, present - 1)}};
}

/**
Delay before a retry: full jitter below a bound that doubles with each attempt.

@param attempt - Number of retries before this one.
@param jitter - A number in [0, 1) from the seeded generator.

@example
```
backoffWithFullJitter(2, 0.5);
//=> 100
```
*/
export function backoffWithFullJitter(attempt: number, jitter: number): Milliseconds {
	return jitter * Math.min(backoffMaximumMilliseconds, backoffBaseMilliseconds * (2 ** attempt));
}
