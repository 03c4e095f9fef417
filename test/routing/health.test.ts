import {expect} from 'chai';
import {
	createRandomSource, pickInteger, type PlanName, type WorkerId,
} from '#core';
import {
	chooseWorker, estimateService, initialServiceTimes, noLoad, observeServiceTime, readShare, receiveHealthMessage, slowStartMilliseconds, type CandidateSource,
	type HealthMessage, type HealthState, type ServiceTimes,
} from '#routing';

const workerAt = (index: number) => `worker-${index}` as WorkerId;
const workers = Array.from({length: 10}, (_, index) => workerAt(index));
const serviceMilliseconds = 20;
const failureMilliseconds = 1;

type HealthCase = Readonly<{
	name: string;
	failing: number;
	/** Bounds of the share of failures in the second half of the requests. */
	minimumFailed: number;
	maximumFailed: number;
	isEjectionEnabled: boolean;
	maximumEjected: number;
}>;

const cases: readonly HealthCase[] = [
	{
		name: 'without ejection, a worker that fails all requests looks idle and attracts requests', failing: 1, minimumFailed: 0.2, maximumFailed: 1, isEjectionEnabled: false, maximumEjected: 0,
	},
	{
		name: 'a worker that fails all requests is ejected and gets little more than trial requests', failing: 1, minimumFailed: 0, maximumFailed: 0.02, isEjectionEnabled: true, maximumEjected: 1,
	},
	{
		name: 'two workers that fail all requests do not prevent each other\'s ejection', failing: 2, minimumFailed: 0, maximumFailed: 0.02, isEjectionEnabled: true, maximumEjected: 2,
	},
	{
		name: 'no more than a third of the workers is ejected, however many fail', failing: 4, minimumFailed: 0, maximumFailed: 1, isEjectionEnabled: true, maximumEjected: 3,
	},
	{
		name: 'requests that fail on every worker eject none', failing: 10, minimumFailed: 1, maximumFailed: 1, isEjectionEnabled: true, maximumEjected: 0,
	},
];

type Simulation = Readonly<{failedShare: number; mostEjected: number}>;

/** Sends 4,000 requests, one per millisecond, to ten workers with one slot each; failed requests free their slot after 1 ms. */
function simulate({failing, isEjectionEnabled}: HealthCase): Simulation {
	const random = createRandomSource(16);
	let health: HealthState = new Map();
	let monotonic = 0;
	let failed = 0;
	let mostEjected = 0;
	const apply = (message: HealthMessage) => {
		health = isEjectionEnabled ? receiveHealthMessage(health, message, {monotonic}) : health;
	};

	for (const worker of workers) {
		apply({kind: 'joined', worker});
	}

	const ends = workers.map((): number[] => []);
	for (; monotonic < 4000; monotonic++) {
		for (const [index, worker] of workers.entries()) {
			const due = ends[index]?.filter(end => end <= monotonic).length ?? 0;
			ends[index] = ends[index]?.filter(end => end > monotonic) ?? [];
			for (let count = 0; count < due; count++) {
				apply({kind: 'ended', worker, end: index < failing ? 'failed' : 'succeeded'});
				failed += index < failing && monotonic >= 2000 ? 1 : 0;
			}
		}

		const source: CandidateSource = {
			count: workers.length,
			at(index) {
				const worker = workerAt(index);
				const share = readShare(health, worker, monotonic);
				const outstanding = ends[index]?.length ?? 0;
				return share === 0
					? undefined
					: {
						worker, slots: 1, longSlots: 1, outstanding: {short: outstanding, long: 0}, others: noLoad, share,
					};
			},
		};
		const pickedWorker = chooseWorker(source, 'short', random)?.worker ?? workerAt(0);
		const chosen = workers.indexOf(pickedWorker);
		apply({kind: 'dispatched', worker: pickedWorker});
		const service = chosen < failing ? failureMilliseconds : serviceMilliseconds;
		ends[chosen]?.push(Math.max(monotonic, ...ends[chosen] ?? []) + service);
		mostEjected = Math.max(mostEjected, [...health.values()].filter(({condition}) => condition.kind !== 'active').length);
	}

	return {failedShare: failed / 2000, mostEjected};
}

describe('ejection of workers', () => {
	for (const row of cases) {
		it(row.name, () => {
			const {failedShare, mostEjected} = simulate(row);
			expect(failedShare).to.be.within(row.minimumFailed * 0.9, row.maximumFailed * 1.1);
			expect(mostEjected).to.be.at.most(row.maximumEjected);
		});
	}
});

const [first] = workers as [WorkerId];
const ejected: readonly HealthMessage[] = [
	...workers.map((worker): HealthMessage => ({kind: 'joined', worker})),
	...Array.from({length: 6}, (): HealthMessage => ({kind: 'ended', worker: first, end: 'failed'})),
];

type ShareCase = Readonly<{name: string; messages: ReadonlyArray<Readonly<{at: number; message: HealthMessage}>>; at: number; share: number}>;

const shareCases: readonly ShareCase[] = [
	{
		name: 'a new worker begins in slow start, so that the entries do not overload it together', messages: [{at: 0, message: {kind: 'joined', worker: first}}], at: 0, share: 0.1,
	},
	{
		name: 'slow start ends', messages: [{at: 0, message: {kind: 'joined', worker: first}}], at: slowStartMilliseconds, share: 1,
	},
	{
		name: 'an ejected worker gets no requests', messages: ejected.map(message => ({at: 0, message})), at: 9999, share: 0,
	},
	{
		name: 'an ejected worker gets a single trial request after its ejection',
		messages: [...ejected.map(message => ({at: 0, message})), {at: 10_000, message: {kind: 'dispatched', worker: first}}],
		at: 10_001,
		share: 0,
	},
	{
		name: 'a trial that succeeds is followed by slow start',
		messages: [
			...ejected.map(message => ({at: 0, message})), {at: 10_000, message: {kind: 'dispatched', worker: first}}, {at: 10_020, message: {kind: 'ended', worker: first, end: 'succeeded'}},
		],
		at: 10_020,
		share: 0.1,
	},
	{
		name: 'a failed trial doubles the duration of the ejection',
		messages: [
			...ejected.map(message => ({at: 0, message})), {at: 10_000, message: {kind: 'dispatched', worker: first}}, {at: 10_020, message: {kind: 'ended', worker: first, end: 'failed'}},
		],
		at: 30_000,
		share: 0,
	},
	{
		name: 'a trial without a result is repeated',
		messages: [...ejected.map(message => ({at: 0, message})), {at: 10_000, message: {kind: 'dispatched', worker: first}}],
		at: 40_000,
		share: 0.1,
	},
];

describe('share of a worker', () => {
	for (const {name, messages, at, share} of shareCases) {
		it(name, () => {
			let health: HealthState = new Map();
			for (const {at: monotonic, message} of messages) {
				health = receiveHealthMessage(health, message, {monotonic});
			}

			expect(readShare(health, first, at)).to.equal(share);
		});
	}
});

type EstimateCase = Readonly<{name: string; observed: readonly number[]; declared: number | undefined; expected: string; within: readonly [number, number]}>;

const estimateCases: readonly EstimateCase[] = [
	{
		name: 'the declared time is the initial estimate', observed: [], declared: 1900, expected: 'long', within: [1900, 1900],
	},
	{
		name: 'a wrong declared time is corrected by observed times', observed: [20, 20, 20, 20, 20], declared: 1900, expected: 'short', within: [20, 20],
	},
	{
		name: 'stragglers of fifty times the usual length do not make a kind long', observed: [20, 20, 20, 1000, 20, 20, 20, 1000, 20, 20], declared: undefined, expected: 'short', within: [20, 20],
	},
	{
		name: 'a kind that has become long is classified as long',
		observed: [...Array.from({length: 32}, () => 20), ...Array.from({length: 17}, () => 2000)], declared: 20, expected: 'long', within: [2000, 2000],
	},
];

describe('estimate of the service time', () => {
	for (const {name, observed, declared, expected, within} of estimateCases) {
		it(name, () => {
			const work = {plan: 'rosters' as PlanName, kind: 'roster', declaredMilliseconds: declared};
			let times: ServiceTimes = initialServiceTimes;
			for (const milliseconds of observed) {
				times = observeServiceTime(times, work, milliseconds);
			}

			const {serviceClass, estimatedMilliseconds} = estimateService(times, work);
			expect(serviceClass).to.equal(expected);
			expect(estimatedMilliseconds).to.be.within(...within);
		});
	}
});

describe('choice of a worker', () => {
	it('finds the only worker of many that may take a request', () => {
		const random = createRandomSource(1);
		const eligible = pickInteger(random, 300);
		const source: CandidateSource = {
			count: 300,
			at: index => index === eligible
				? {
					worker: first, slots: 8, longSlots: 6, outstanding: noLoad, others: noLoad, share: 1,
				}
				: undefined,
		};
		expect(chooseWorker(source, 'short', random)?.worker).to.equal(first);
	});
});
