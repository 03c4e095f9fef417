import {expect} from 'chai';
import type {PlanName, RequestId, ServiceClass} from '#core';
import {
	admitItem, startItem, chooseNext, createQueueSettings, createSlotQueue, endItem, setLimits, type PlanLimit, type QueueItem, type SlotQueue,
} from '#limits';

const slots = 4;

type Offer = Readonly<{plan: string; count: number; serviceClass?: ServiceClass; estimate?: number; actual?: number}>;
type Case = Readonly<{
	name: string;
	limits?: Readonly<Record<string, Partial<PlanLimit>>>;
	maximumQueued?: number;
	offers: readonly Offer[];
	/** Selects what is compared with the expected value. */
	select: (outcome: Outcome) => unknown;
	expected: unknown;
}>;
type Outcome = Readonly<{starts: readonly string[]; refusals: readonly string[]; mostRunning: Readonly<Record<string, number>>}>;

const countOf = (starts: readonly string[], plan: string) => starts.filter(start => start === plan).length;

const cases: readonly Case[] = [
	{
		name: 'a plan with three times the weight does not get three times the starts',
		limits: {heavy: {weight: 3}, light: {weight: 1}},
		offers: [{plan: 'light', count: 60}, {plan: 'heavy', count: 60}],
		select: ({starts}) => Math.abs(countOf(starts.slice(8, 48), 'heavy') - 30) <= 1,
		expected: true,
	},
	{
		name: 'a plan that understates its service times gets more than its share',
		offers: [{
			plan: 'honest', count: 60, estimate: 100, actual: 100,
		}, {
			plan: 'understating', count: 60, estimate: 1, actual: 100,
		}],
		select: ({starts}) => Math.abs(countOf(starts.slice(0, 60), 'understating') - 30) <= slots,
		expected: true,
	},
	{
		name: 'a plan exceeds its limit of running requests',
		limits: {bounded: {maximumSlots: 2}},
		offers: [{plan: 'bounded', count: 20}],
		select: ({mostRunning}) => mostRunning['bounded'],
		expected: 2,
	},
	{
		name: 'a request of a plan without slots is queued forever instead of being refused',
		limits: {none: {maximumSlots: 0}},
		offers: [{plan: 'none', count: 1}],
		select: ({refusals}) => refusals,
		expected: ['quota-exceeded'],
	},
	{
		name: 'a plan exceeds its limit of queued requests',
		limits: {bounded: {maximumSlots: 1, maximumQueued: 3}},
		offers: [{plan: 'bounded', count: 6}],
		select: ({refusals}) => refusals,
		expected: ['queue-full', 'queue-full'],
	},
	{
		name: 'long work occupies the slots that are reserved for short work',
		offers: [{plan: 'domes', count: 10, serviceClass: 'long'}],
		select: ({mostRunning}) => mostRunning['domes'],
		expected: 3,
	},
	{
		name: 'slots stay free although short work is queued',
		offers: [{plan: 'rosters', count: 10, serviceClass: 'short'}],
		select: ({mostRunning}) => mostRunning['rosters'],
		expected: slots,
	},
	{
		name: 'a plan that fills the queue locks out a plan without queued requests',
		maximumQueued: 8,
		offers: [{plan: 'flood', count: 20}, {plan: 'quiet', count: 2}],
		select: ({starts, refusals}) => [countOf(starts, 'quiet'), countOf(starts, 'flood'), refusals.length],
		expected: [2, 10, 10],
	},
];

/** Submits all requests at once and then runs the queue under virtual time until it is empty. */
function simulate({limits = {}, maximumQueued = 256, offers}: Case): Outcome {
	const full: PlanLimit = {weight: 1, maximumSlots: slots, maximumQueued: 256};
	let queue: SlotQueue = setLimits(
		createSlotQueue({...createQueueSettings(slots), maximumQueued}),
		new Map(Object.entries(limits).map(([plan, limit]) => [plan as PlanName, {...full, ...limit}])),
	);
	const actualOf = new Map<string, number>();
	const running = new Map<RequestId, Readonly<{plan: string; endsAt: number}>>();
	const starts: string[] = [];
	const refusals: string[] = [];
	const mostRunning: Record<string, number> = {};
	let now = 0;
	const startAll = () => {
		for (let item = chooseNext(queue); item !== undefined; item = chooseNext(queue)) {
			const {plan, requestId} = item;
			queue = startItem(queue, item, now);
			starts.push(plan);
			running.set(requestId, {plan, endsAt: now + (actualOf.get(plan) ?? 0)});
			mostRunning[plan] = Math.max(mostRunning[plan] ?? 0, [...running.values()].filter(other => other.plan === plan).length);
		}
	};

	for (const {plan, count, serviceClass = 'short', estimate = 100, actual = estimate} of offers) {
		actualOf.set(plan, actual);
		for (let serial = 0; serial < count; serial++) {
			const item: QueueItem = {
				requestId: `${plan}-${serial}` as RequestId, plan: plan as PlanName, serviceClass, estimatedMilliseconds: estimate,
			};
			const admission = admitItem(queue, item, {now, monotonic: now});
			if (admission.kind === 'refused') {
				refusals.push(admission.reason);
			} else {
				queue = admission.queue;
				refusals.push(...(admission.displaced === undefined ? [] : ['displaced']));
				startAll();
			}
		}
	}

	while (running.size > 0) {
		const [requestId, {endsAt}] = [...running].reduce((first, other) => other[1].endsAt < first[1].endsAt ? other : first);
		now = endsAt;
		running.delete(requestId);
		queue = endItem(queue, requestId, now);
		startAll();
	}

	return {starts, refusals, mostRunning};
}

describe('slot queue: prevented failures', () => {
	for (const row of cases) {
		it(row.name, () => {
			expect(row.select(simulate(row))).to.deep.equal(row.expected);
		});
	}
});
