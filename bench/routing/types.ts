import type {Milliseconds, ServiceClass} from '#core';

/** How requests are placed on workers and ordered there. */
export type Policy = 'product' | 'round-robin' | 'least-outstanding' | 'two-choices';

/** One request of the model; `serviceMilliseconds` is what it really takes. */
export type Arrival = Readonly<{
	number: number;
	at: Milliseconds;
	plan: string;
	kind: string;
	/** Whether it is meant to be short, before any straggling. */
	serviceClass: ServiceClass;
	serviceMilliseconds: Milliseconds;
	declaredMilliseconds: Milliseconds;
	isStraggler: boolean;
}>;

export type Scenario = Readonly<{
	name: string;
	workers: number;
	slots: number;
	entries: number;
	/** Workers that fail everything they start, after this time. */
	failing: ReadonlySet<number>;
	failureMilliseconds: Milliseconds;
	arrivals: readonly Arrival[];
	/** Requests that arrive between these times are counted as those of the crest. */
	crest: readonly [Milliseconds, Milliseconds];
}>;

/** How one request ended. */
export type Completion = Readonly<{arrival: Arrival; startedAt: Milliseconds; endedAt: Milliseconds; isFailed: boolean; isRefused: boolean; waitedBehindLong: Milliseconds}>;

export type Played = Readonly<{completions: readonly Completion[]}>;
