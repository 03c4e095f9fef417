import {expect} from 'chai';
import {
	refusalPermitsService, schedulerService, storeMonitorService, storePort, submitJob, type CoordinatorContext, type Scheduler, type StoreMonitor,
} from '#coordinator';
import type {JobRecord} from '#jobs';
import {createCounters, createServices, type Clock} from '#kernel';
import type {StoredValue, TransactionalStore, WriteReply} from '#store';
import {submissionOf} from '#test/support/scheduling';

type Fate =
	| 'answered'
	/** The reply is lost; the store applies the write at once. */
	| 'reply-lost'
	/** There is no reply; the store applies the write after the caller was answered, if its condition still holds. */
	| 'late';

type Case = Readonly<{
	name: string;
	stored: JobRecord['kind'] | undefined;
	/** Fates of the writes in their order; further writes are answered. */
	fates: readonly Fate[];
	answer: 'accepted' | 'refused' | 'undecided' | 'withdrawn';
	storedAtEnd: JobRecord['kind'];
	/** The entry has written as many refusal records as it may. */
	isLimited?: true;
}>;

const cases: readonly Case[] = [
	{
		name: 'a new submission is stored (accepted job that never runs)', stored: undefined, fates: [], answer: 'accepted', storedAtEnd: 'accepted',
	},
	{
		name: 'a submission replaces the refusal of an earlier attempt (job that can never be submitted again)', stored: 'refused', fates: [], answer: 'accepted', storedAtEnd: 'accepted',
	},
	{
		name: 'a submission does not replace a withdrawal (cancelled job runs)', stored: 'withdrawn', fates: [], answer: 'withdrawn', storedAtEnd: 'withdrawn',
	},
	{
		name: 'a submission whose reply is lost is read back (refused job that runs)', stored: undefined, fates: ['reply-lost'], answer: 'accepted', storedAtEnd: 'accepted',
	},
	{
		name: 'a write that the store applies after the refusal has no effect (refused job that runs)', stored: undefined, fates: ['late'], answer: 'refused', storedAtEnd: 'refused',
	},
	{
		name: 'the refusal of an earlier attempt does not stand for a later one whose write is applied late (refused job that runs)',
		stored: 'refused',
		fates: ['answered', 'late'],
		answer: 'refused',
		storedAtEnd: 'refused',
	},
	{
		name: 'a refusal record whose reply is lost counts once it is read back (caller that waits in vain)',
		stored: undefined,
		fates: ['late', 'reply-lost'],
		answer: 'refused',
		storedAtEnd: 'refused',
	},
	{
		name: 'a refusal record that is written late is written again (refused job that runs)', stored: 'refused', fates: ['answered', 'late', 'late'], answer: 'refused', storedAtEnd: 'refused',
	},
	{
		name: 'nothing is refused while no refusal record is certain (refused job that runs)',
		stored: 'refused',
		fates: ['answered', ...Array.from({length: 20}, () => 'late' as const)],
		answer: 'undecided',
		storedAtEnd: 'accepted',
	},
	{
		name: 'over the limit of refusal records the outcome is unknown (a record for each key that a caller invents, or refused job that runs)',
		stored: undefined, fates: ['late'], answer: 'undecided', storedAtEnd: 'accepted', isLimited: true,
	},
	{
		name: 'over the limit of refusal records a job that was stored is accepted (caller that waits in vain)',
		stored: undefined, fates: ['reply-lost'], answer: 'accepted', storedAtEnd: 'accepted', isLimited: true,
	},
];

const lostReply: WriteReply = {kind: 'unavailable', effect: 'perhaps-applied', message: 'timeout'};

function createFakeStore(stored: JobRecord | undefined, fates: readonly Fate[]) {
	let current: Readonly<{value: unknown; version: number}> | undefined = stored === undefined ? undefined : {value: stored, version: 7};
	let writes = 0;
	const lateWrites: Array<() => unknown> = [];
	const describe = (key: string): StoredValue | undefined => current === undefined ? undefined : {key, ...current};
	const apply = (key: string, value: unknown, expectedVersion: number): WriteReply => {
		if ((current?.version ?? 0) !== expectedVersion) {
			return {kind: 'conflict', current: describe(key)};
		}

		current = {value, version: (current?.version ?? 7) + 1};
		return {kind: 'written', version: current.version};
	};

	const store: Pick<TransactionalStore, 'read' | 'write'> = {
		async read(key) {
			const found = describe(key);
			return found === undefined ? {kind: 'absent'} : {kind: 'found', stored: found};
		},
		async write(key, value, {expectedVersion}) {
			const fate = fates[writes++] ?? 'answered';
			switch (fate) {
				case 'answered': {
					return apply(key, value, expectedVersion);
				}

				case 'reply-lost': {
					apply(key, value, expectedVersion);
					return lostReply;
				}

				case 'late': {
					lateWrites.push(() => apply(key, value, expectedVersion));
					return lostReply;
				}
			}
		},
	};
	return {
		store,
		/** Applies the late writes in the order in which they were sent, and returns the record that remains. */
		finish() {
			for (const write of lateWrites) {
				write();
			}

			return current?.value as JobRecord | undefined;
		},
	};
}

/** Time advances by each scheduled delay. */
function createSteppingClock(): Clock {
	let time = 0;
	return {
		now: () => time,
		monotonic: () => time,
		schedule(delay, action) {
			time += delay;
			setImmediate(action);
			return () => undefined;
		},
	};
}

describe('submission of a job', () => {
	for (const {
		name, stored, fates, answer, storedAtEnd, isLimited,
	} of cases) {
		it(name, async () => {
			const submission = submissionOf(1, [{}]);
			const records: Readonly<Record<JobRecord['kind'], JobRecord>> = {
				accepted: {kind: 'accepted', submission}, refused: {kind: 'refused', refusedAt: 0}, withdrawn: {kind: 'withdrawn', withdrawnAt: 0},
			};
			const record = stored === undefined ? undefined : records[stored];
			const {store, finish} = createFakeStore(record, fates);
			const services = createServices();
			services.provide(storePort, store as TransactionalStore);
			services.provide(storeMonitorService, {isFailing: () => false, measureOutage: () => 0} satisfies Omit<StoreMonitor, 'store'>);
			services.provide(refusalPermitsService, {request: () => isLimited === true ? {kind: 'refused', retryAfterMilliseconds: 1000} : {kind: 'granted'}});
			services.provide(schedulerService, {send: () => undefined} as unknown as Scheduler);
			const context = {services, clock: createSteppingClock(), counters: createCounters()} as unknown as CoordinatorContext;
			const answered = await submitJob(submission, 1000, context);
			expect(answered.kind).to.equal(answer);
			expect(finish()?.kind).to.equal(storedAtEnd);
		});
	}
});
