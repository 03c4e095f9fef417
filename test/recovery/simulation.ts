/** Seeded simulation of two entries, three agents and a store with faults, which runs the production state machines on virtual time. */
import {createRandomSource, type RequestId, type RequestWork} from '#core';
import {createVirtualClock} from '#kernel';
import {ModelAgent, type Run} from './model-agent.js';
import {ModelEntry, type Submission, type Variant} from './model-entry.js';
import {ModelNetwork} from './model-network.js';
import {ModelStore} from './model-store.js';

export type SubmitOptions = Readonly<{idempotent?: boolean; retry?: boolean; milliseconds?: number; usefulFor?: number}>;

export class Simulation {
	readonly clock = createVirtualClock(Date.UTC(2026, 0, 1));
	readonly store = new ModelStore();
	readonly submissions: Submission[] = [];
	private readonly runs: Run[] = [];
	private readonly agents: readonly ModelAgent[];
	private readonly entries: readonly ModelEntry[];

	constructor(seed: number, variant: Variant) {
		const {clock, store} = this;
		const random = createRandomSource(seed);
		this.agents = ['worker-0', 'worker-1', 'worker-2'].map(worker => new ModelAgent(worker, clock, this.runs));
		this.entries = ['entry-0', 'entry-1'].map(name => new ModelEntry({
			name, variant, store, clock, random, network: new ModelNetwork(this.agents, clock, random),
		}));
	}

	submit(entryIndex: number, requestId: RequestId, options: SubmitOptions = {}): Submission {
		const {idempotent = false, retry = false, milliseconds = 30, usefulFor = 2000} = options;
		const entry = this.pickEntry(entryIndex);
		const submission: Submission = {
			number: this.submissions.length, requestId, idempotent, entry, answers: [],
		};
		this.submissions.push(submission);
		const work: unknown = {
			requestId, plan: 'rosters', kind: 'roster', idempotent, latestUsefulAt: this.clock.now() + usefulFor, payload: {milliseconds},
		};
		entry.submit(submission, work as RequestWork, retry);
		return submission;
	}

	cancel(submission: Submission): void {
		submission.entry.send(submission, {kind: 'cancelled'});
	}

	breakConnection(entryIndex: number, worker: number, downFor: number): void {
		this.pickEntry(entryIndex).network.breakConnection(this.agents[worker]?.worker ?? '', downFor);
	}

	restartAgent(worker: number): void {
		this.agents[worker]?.restart();
		for (const index of this.entries.keys()) {
			this.breakConnection(index, worker, 5);
		}
	}

	killEntry(entryIndex: number): void {
		this.pickEntry(entryIndex).isUp = false;
	}

	slowNetwork(minimumLatency: number): void {
		for (const {network} of this.entries) {
			network.minimumLatency = minimumLatency;
		}
	}

	/** Occupies the slot of each agent with work that no entry dispatched. */
	fillSlots(): void {
		for (const agent of this.agents) {
			const work: unknown = {requestId: `filler-${agent.worker}`, payload: {milliseconds: 400}};
			agent.run(work as RequestWork, -1, () => undefined);
		}
	}

	isPending(entryIndex: number, requestId: RequestId): boolean {
		const entry = this.pickEntry(entryIndex);
		return this.submissions.some(submission => submission.requestId === requestId && submission.entry === entry && submission.answers.length === 0);
	}

	/** Submissions without an answer whose entry is still up. */
	findUnanswered(): readonly number[] {
		return this.submissions.filter(({entry, answers}) => entry.isUp && answers.length === 0).map(({number}) => number);
	}

	/** Violations of the guarantees to callers. */
	findViolations(): readonly string[] {
		return this.submissions.flatMap(({number, requestId, idempotent, answers}) => {
			const runs = this.runs.filter(run => run.requestId === requestId);
			return [
				...(!idempotent && runs.length > 1 ? ['ran-twice'] : []),
				// `not-run` covers this and earlier submissions of the identifier; the caller may submit it again later.
				...(answers.some(({kind}) => kind === 'not-run') && runs.some(run => run.submission <= number) ? ['false-not-run'] : []),
				...(answers.some(answer => answer.kind === 'completed' && answer.result.body !== requestId) ? ['wrong-result'] : []),
				...(answers.length > 1 ? ['answered-twice'] : []),
			];
		});
	}

	private pickEntry(index: number): ModelEntry {
		const entry = this.entries[index];
		if (entry === undefined) {
			throw new RangeError(`entry index ${index} is out of range`);
		}

		return entry;
	}
}
