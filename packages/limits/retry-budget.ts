import type {Milliseconds, PlanName} from '#core';

/** Retries per first attempt that a plan, and the process as a whole, may spend. */
export const retryShare = 0.1;
/** Initial retries of a plan, so that plans with little traffic can retry at all. */
export const initialRetryTokens = 3;
/** Maximum number of retries that a plan can accumulate. */
export const maximumRetryTokens = 10;
/** The same limits for the whole process. */
export const initialProcessRetryTokens = 10;
export const maximumProcessRetryTokens = 100;
export const backoffBaseMilliseconds = 50;
export const backoffMaximumMilliseconds = 2000;

/** Token buckets of retries: each first attempt earns `retryShare` of a token, each retry costs one. */
export type RetryBudget = Readonly<{process: number; plans: ReadonlyMap<PlanName, number>}>;

export type RetryDecision = Readonly<{isAllowed: boolean; budget: RetryBudget}>;

export const initialRetryBudget: RetryBudget = {process: initialProcessRetryTokens, plans: new Map()};

/** Credits a first attempt to the plan and the process. */
export function earnRetry(budget: RetryBudget, plan: PlanName): RetryBudget {
	const tokens = budget.plans.get(plan) ?? initialRetryTokens;
	const earned = Math.min(maximumRetryTokens, tokens + retryShare);
	return {
		process: Math.min(maximumProcessRetryTokens, budget.process + retryShare),
		plans: earned === tokens ? budget.plans : new Map(budget.plans).set(plan, earned),
	};
}

/** Spends one token if both the plan and the process have one. */
export function spendRetry(budget: RetryBudget, plan: PlanName): RetryDecision {
	const tokens = budget.plans.get(plan) ?? initialRetryTokens;
	if (tokens < 1 || budget.process < 1) {
		return {isAllowed: false, budget};
	}

	return {isAllowed: true, budget: {process: budget.process - 1, plans: new Map(budget.plans).set(plan, tokens - 1)}};
}

/**
Computes the delay before a retry: exponential backoff with full jitter, up to a maximum.

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
