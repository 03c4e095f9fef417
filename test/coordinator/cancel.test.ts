import {expect} from 'chai';
import {
	cancelJob, schedulerService, storePort, type CoordinatorContext,
} from '#coordinator';
import type {JobRecord} from '#jobs';
import {
	createServices, createVirtualClock, silentLog,
} from '#kernel';
import type {TransactionalStore, WriteReply} from '#store';
import {submissionOf} from '#test/support/scheduling';

const submission = submissionOf(1, [{}]);
const jobKey = `jobs/${submission.job}`;
const accepted: JobRecord = {kind: 'accepted', submission};
const refused: JobRecord = {kind: 'refused', refusedAt: 0};

type Case = Readonly<{
	name: string;
	stored: JobRecord | undefined;
	/** Whether a submission of the job may still be stored. */
	isUndecided: boolean;
	/** When the store applies the unanswered submission. */
	submissionApplied: 'never' | 'before-next-write' | 'after-answer';
	answer: 'cancelled' | 'absent';
	/** Keys at the end, with the kind of the job's record. */
	keys: readonly string[];
}>;

const cases: readonly Case[] = [
	{
		name: 'a cancellation of an accepted job is stored (job runs on)', stored: accepted, isUndecided: false, submissionApplied: 'never', answer: 'cancelled', keys: ['accepted', 'cancellation'],
	},
	{
		name: 'a cancellation of an unknown job stores nothing (store filled with unknown jobs)', stored: undefined, isUndecided: false, submissionApplied: 'never', answer: 'absent', keys: [],
	},
	{
		name: 'a submission that is applied after its cancellation has no effect (cancelled job runs)',
		stored: undefined,
		isUndecided: true,
		submissionApplied: 'after-answer',
		answer: 'absent',
		keys: ['refused'],
	},
	{
		name: 'a submission over a refusal that is applied after its cancellation has no effect (cancelled job runs)',
		stored: refused,
		isUndecided: true,
		submissionApplied: 'after-answer',
		answer: 'absent',
		keys: ['refused'],
	},
	{
		name: 'a submission that is applied during its cancellation is cancelled (cancelled job runs)',
		stored: undefined,
		isUndecided: true,
		submissionApplied: 'before-next-write',
		answer: 'cancelled',
		keys: ['accepted', 'cancellation'],
	},
];

describe('cancellation of a job', () => {
	for (const {
		name, stored, isUndecided, submissionApplied, answer, keys,
	} of cases) {
		it(name, async () => {
			const values = new Map<string, Readonly<{value: unknown; version: number}>>(stored === undefined ? [] : [[jobKey, {value: stored, version: 7}]]);
			let version = 7;
			const apply = (key: string, value: unknown, expectedVersion: number): WriteReply => {
				const current = values.get(key);
				if ((current?.version ?? 0) !== expectedVersion) {
					return {kind: 'conflict', current: current === undefined ? undefined : {key, ...current}};
				}

				version++;
				values.set(key, {value, version});
				return {kind: 'written', version};
			};

			const submittedOver = stored === undefined ? 0 : 7;
			let isSubmissionDue = submissionApplied === 'before-next-write';
			const store: Pick<TransactionalStore, 'list' | 'write'> = {
				list: async prefix => ({kind: 'listed', revision: version, values: [...values].filter(([key]) => key.startsWith(prefix)).map(([key, current]) => ({key, ...current}))}),
				async write(key, value, {expectedVersion}) {
					if (isSubmissionDue) {
						isSubmissionDue = false;
						apply(jobKey, accepted, submittedOver);
					}

					return apply(key, value, expectedVersion);
				},
			};
			const services = createServices();
			services.provide(storePort, store as TransactionalStore);
			services.provide(schedulerService, {
				beginTerm: () => undefined, endTerm: () => undefined, send: () => undefined, read: () => undefined,
			});
			const clock = {
				...createVirtualClock(), schedule(_delay: number, action: () => void) {
					setImmediate(action);
					return () => undefined;
				},
			};
			const context = {services, clock, log: silentLog} as unknown as CoordinatorContext;
			const answered = await cancelJob(submission.job, {deadline: 1000, isUndecided, context});
			if (submissionApplied === 'after-answer') {
				apply(jobKey, accepted, submittedOver);
			}

			expect(answered.kind).to.equal(answer);
			expect([...values].map(([key, {value}]) => key === jobKey ? (value as JobRecord).kind : 'cancellation')).to.deep.equal(keys);
		});
	}
});
