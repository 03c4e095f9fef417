import {expect} from 'chai';
import {createCounters, createVirtualClock} from '#kernel';
import {
	choosePassDelay, computeElectionDelay, createPassTimer, computeProcessingTime, type LastPass,
} from '#coordinator';

type Entry = Readonly<{latency: number; processorCapacity: number}>;

const electionCases: ReadonlyArray<Readonly<{name: string; first: Entry; second: Entry}>> = [
	{
		name: 'the stronger of two entries near the store campaigns first (weak machine falls behind as the scheduler)',
		first: {latency: 8, processorCapacity: 1.35},
		second: {latency: 8, processorCapacity: 0.324},
	},
	{
		name: 'a strong entry near the store precedes an equally strong one in another region (each write crosses the link)',
		first: {latency: 8, processorCapacity: 1.35},
		second: {latency: 68, processorCapacity: 1.35},
	},
	{
		name: 'a strong entry in another region precedes a very weak one near the store (pool decided by a machine that stalls)',
		first: {latency: 68, processorCapacity: 1.35},
		second: {latency: 8, processorCapacity: 0.12},
	},
];

describe('delay before an election', () => {
	for (const {name, first, second} of electionCases) {
		it(name, () => {
			// The jitter is smaller than the differences, so that it only separates equal entries.
			expect(computeElectionDelay({...first, random: 0})).to.be.below(computeElectionDelay({...second, random: 0}));
		});
	}

	it('the weakest machine alone is elected well within the lease that it replaces (no scheduler for long)', () => {
		expect(computeElectionDelay({latency: 68, processorCapacity: 0.01, random: 1})).to.be.below(1000);
	});
});

const passCases: ReadonlyArray<Readonly<{name: string; last: LastPass; delay: number}>> = [
	{name: 'reports of one moment share a pass (a pass for each report)', last: {duration: 0, elapsedSince: 0}, delay: 5},
	{name: 'passes take a quarter of the time at most (renewals and leases wait behind passes)', last: {duration: 40, elapsedSince: 0}, delay: 120},
	{name: 'a request after a pause is not delayed by an earlier long pass (each start waits twice)', last: {duration: 40, elapsedSince: 500}, delay: 5},
	{name: 'urgent work is noticed in time although passes are slow (guarantee not reclaimed)', last: {duration: 2000, elapsedSince: 0}, delay: 400},
];

describe('delay before a scheduling pass', () => {
	for (const {name, last, delay} of passCases) {
		it(name, () => {
			expect(choosePassDelay(last)).to.equal(delay);
		});
	}
});

describe('timer of scheduling passes', () => {
	it('carries out one pass for the requests of a moment, and further ones after a pass that failed (nothing starts after one unexpected error)', () => {
		const clock = createVirtualClock();
		let passes = 0;
		const timer = createPassTimer({clock, counters: createCounters()}, () => {
			passes++;
			if (passes === 1) {
				throw new Error('unexpected');
			}
		});
		timer.request();
		timer.request();
		expect(() => {
			clock.advance(5);
		}).to.throw('unexpected');
		clock.advance(100);
		expect(passes).to.equal(1);
		timer.request();
		clock.advance(100);
		expect(passes).to.equal(2);
	});
});

const processingCases: ReadonlyArray<Readonly<{name: string; timeout: number; atLeast: number; atMost: number}>> = [
	{
		name: 'a last attempt of 0.2 s is processed (caller told to give up although the store answers in milliseconds)', timeout: 200, atLeast: 100, atMost: 150,
	},
	{
		name: 'a usual call is answered well before its caller times out (answer that arrives too late)', timeout: 3000, atLeast: 2000, atMost: 2500,
	},
	{
		name: 'a call without time is not processed (work for a caller that left)', timeout: -5, atLeast: 0, atMost: 0,
	},
];

describe('time to process a call', () => {
	for (const {name, timeout, atLeast, atMost} of processingCases) {
		it(name, () => {
			expect(computeProcessingTime(timeout)).to.be.within(atLeast, atMost);
		});
	}
});
