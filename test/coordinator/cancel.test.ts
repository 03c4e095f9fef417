/** A cancellation holds whatever is still under way: a paused entry, a late write, a copy of the submission at another entry. */
import {expect} from 'chai';
import fc from 'fast-check';
import type {JobRecord} from '#jobs';
import {createVirtualClock, sleep} from '#kernel';
import type {CallerAnswer} from '#protocol';
import {startCallerEntry, type CallerEntry} from '#test/support/caller-entry';
import {submissionOf} from '#test/support/scheduling';
import {createUnreliableStore, type WriteFate} from '#test/support/unreliable-store';
import {elapse} from '#test/support/virtual-time';

const submission = submissionOf(1, [{}]);
const jobKey = `jobs/${submission.job}`;
const cancellationKey = `${jobKey}/cancellation`;
const accepted: JobRecord = {kind: 'accepted', submission};
const refused: JobRecord = {kind: 'refused', refusedAt: 0};
const prompt: WriteFate = {kind: 'answered', appliedAfter: 1, answeredAfter: 1};

/** Longer than any call is processed, with the writes that are carried out after it. */
const settledMilliseconds = 20_000;

type Action = Readonly<{at: number; entry: number}> & (
	| Readonly<{kind: 'submit' | 'cancel'}>
	| Readonly<{kind: 'pause'; duration: number}>
	/** The scheduler removes the records of the ended job. */
	| Readonly<{kind: 'remove-records'}>
);
type Answer = Readonly<{kind: 'submit' | 'cancel'; answer: CallerAnswer['kind']; at: number}>;

type Case = Readonly<{
	name: string;
	stored?: JobRecord;
	/** What becomes of the writes, in the order in which they are sent; later ones are answered at once. */
	fates?: readonly WriteFate[];
	actions: readonly Action[];
	/** Answers in the order of the submissions and cancellations. */
	answers: ReadonlyArray<CallerAnswer['kind']>;
	/** Kind of the job's record at the end, and whether its cancellation is stored. */
	record: JobRecord['kind'] | undefined;
	isCancellationStored?: boolean;
}>;

const cases: readonly Case[] = [
	{
		name: 'a cancellation of an accepted job is stored (job runs on)',
		stored: accepted, actions: [{kind: 'cancel', at: 0, entry: 0}], answers: ['cancelled'], record: 'accepted', isCancellationStored: true,
	},
	{
		name: 'an unknown job is withdrawn (a copy of its submission runs later)',
		actions: [{kind: 'cancel', at: 0, entry: 0}], answers: ['absent'], record: 'withdrawn',
	},
	{
		name: 'a submission that an entry processes after the cancellation has no effect (cancelled job runs)',
		actions: [{kind: 'cancel', at: 0, entry: 1}, {kind: 'submit', at: 700, entry: 0}], answers: ['absent', 'withdrawn'], record: 'withdrawn',
	},
	{
		name: 'a submission after another one was withdrawn has no effect either (cancelled job runs)',
		actions: [{kind: 'submit', at: 0, entry: 0}, {kind: 'cancel', at: 500, entry: 1}, {kind: 'submit', at: 3000, entry: 2}],
		fates: [{kind: 'never-applied'}], answers: ['withdrawn', 'absent', 'withdrawn'], record: 'withdrawn',
	},
	{
		name: 'a write of a submission that the store carries out after the cancellation has no effect (cancelled job runs)',
		actions: [{kind: 'submit', at: 0, entry: 0}, {kind: 'cancel', at: 500, entry: 1}],
		fates: [{kind: 'unanswered', appliedAfter: 6000}], answers: ['withdrawn', 'absent'], record: 'withdrawn',
	},
	{
		name: 'a submission over a refusal that the store carries out after the cancellation has no effect (cancelled job runs)',
		stored: refused, actions: [{kind: 'submit', at: 0, entry: 0}, {kind: 'cancel', at: 500, entry: 1}],
		fates: [prompt, {kind: 'unanswered', appliedAfter: 6000}], answers: ['withdrawn', 'absent'], record: 'withdrawn',
	},
	{
		name: 'an entry that was paused over a submission does not store it after the cancellation (cancelled job runs)',
		stored: refused, actions: [{
			kind: 'pause', at: 0, entry: 0, duration: 1500,
		}, {kind: 'submit', at: 1, entry: 0}, {kind: 'cancel', at: 500, entry: 1}],
		answers: ['withdrawn', 'absent'], record: 'withdrawn',
	},
	{
		name: 'a submission that is carried out during the cancellation is cancelled (cancelled job runs)',
		actions: [{kind: 'submit', at: 0, entry: 0}, {kind: 'cancel', at: 20, entry: 1}],
		fates: [{kind: 'unanswered', appliedAfter: 23}], answers: ['accepted', 'cancelled'], record: 'accepted', isCancellationStored: true,
	},
	{
		name: 'a cancellation leaves nothing behind if the records of the job are removed meanwhile (next job under the identifier is cancelled)',
		stored: accepted,
		actions: [{kind: 'cancel', at: 0, entry: 0}, {kind: 'remove-records', at: 8, entry: 0}, {kind: 'submit', at: 500, entry: 1}],
		answers: ['absent', 'withdrawn'],
		record: 'withdrawn',
	},
	{
		name: 'a withdrawal whose answer is lost counts once it is read back (caller that waits in vain)',
		actions: [{kind: 'cancel', at: 0, entry: 0}], fates: [{kind: 'unanswered', appliedAfter: 1}], answers: ['absent'], record: 'withdrawn',
	},
	{
		name: 'a cancellation whose withdrawal is not certain is not confirmed (cancelled job runs)',
		actions: [{kind: 'cancel', at: 0, entry: 0}], fates: Array.from({length: 9}, () => ({kind: 'never-applied' as const})), answers: ['undecided'], record: undefined,
	},
	{
		name: 'the refusal of an earlier attempt does not stand for a cancellation: a retry is accepted (job that can never be submitted again)',
		stored: refused, actions: [{kind: 'submit', at: 0, entry: 0}], answers: ['accepted'], record: 'accepted',
	},
];

/** Plays actions at three entries and returns their answers once everything is settled. */
async function play({stored, fates = [], actions}: Pick<Case, 'stored' | 'fates' | 'actions'>) {
	const clock = createVirtualClock();
	const remaining = [...fates];
	const unreliable = createUnreliableStore(clock, () => remaining.shift() ?? prompt);
	if (stored !== undefined) {
		unreliable.put(jobKey, stored);
	}

	const entries: readonly CallerEntry[] = Array.from({length: 3}, () => startCallerEntry(clock, unreliable));
	const perform = async (action: Action): Promise<readonly Answer[]> => {
		await sleep(clock, action.at);
		const entry = entries[action.entry]!;
		switch (action.kind) {
			case 'pause': {
				entry.pause(clock.monotonic() + action.duration);
				return [];
			}

			case 'remove-records': {
				await unreliable.store.commit({conditions: [], puts: [], removals: [jobKey, cancellationKey]});
				return [];
			}

			case 'submit':
			case 'cancel': {
				const answer = await (action.kind === 'submit' ? entry.submit(submission) : entry.cancel(submission));
				return [{kind: action.kind, answer: answer.kind, at: clock.monotonic()}];
			}
		}
	};

	const performed = Promise.all(actions.map(async action => perform(action)));
	await elapse(clock, settledMilliseconds, 5);
	const answers = await performed;
	return {answers: answers.flat(), record: unreliable.read(jobKey) as JobRecord | undefined, isCancellationStored: unreliable.read(cancellationKey) !== undefined};
}

describe('cancellation of a job', () => {
	for (const {
		name, answers, record, isCancellationStored = false, ...sequence
	} of cases) {
		it(name, async () => {
			const played = await play(sequence);
			expect(played.answers.map(({answer}) => answer)).to.deep.equal(answers);
			expect(played.record?.kind).to.equal(record);
			expect(played.isCancellationStored).to.equal(isCancellationStored);
		});
	}

	it('a job whose cancellation was confirmed never runs, in random sequences at three entries (cancelled job runs)', async () => {
		const entry = fc.nat({max: 2});
		const at = fc.nat({max: 4000});
		const action: fc.Arbitrary<Action> = fc.oneof(
			fc.record({kind: fc.constantFrom('submit' as const, 'cancel' as const), at, entry}),
			fc.record({
				kind: fc.constant('pause' as const), at, entry, duration: fc.integer({min: 100, max: 6000}),
			}),
		);
		const fate: fc.Arbitrary<WriteFate> = fc.oneof(
			fc.constant(prompt),
			fc.record({kind: fc.constant('answered' as const), appliedAfter: fc.nat({max: 400}), answeredAfter: fc.nat({max: 400})}),
			fc.record({kind: fc.constant('unanswered' as const), appliedAfter: fc.nat({max: 8000})}),
			fc.constant({kind: 'refused' as const}),
			fc.constant({kind: 'never-applied' as const}),
		);
		await fc.assert(fc.asyncProperty(fc.array(action, {minLength: 2, maxLength: 6}), fc.array(fate, {maxLength: 8}), async (actions, fates) => {
			const {answers, record, isCancellationStored} = await play({actions, fates});
			if (answers.some(({kind, answer}) => kind === 'cancel' && (answer === 'absent' || answer === 'cancelled'))) {
				expect(record?.kind === 'accepted' && !isCancellationStored).to.equal(false);
			}

			if (answers.some(({kind, answer}) => kind === 'submit' && answer === 'accepted')) {
				expect(record?.kind).to.equal('accepted');
			}
		}), {seed: 10, numRuns: 60});
	});
});
