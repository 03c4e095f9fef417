/** A small model of an agent: a ledger of identifiers, a bounded queue and one slot. */
import type {
	AgentAnswer, Place, RefusalReason, RequestId, RequestWork,
} from '#core';
import type {Clock} from '#kernel';
import type {FindResult, WithdrawResult} from '#protocol';

export type Run = Readonly<{requestId: RequestId; submission: number; worker: string}>;
export type Reply = (answer: AgentAnswer) => void;

type Entry = {status: 'queued' | 'running' | 'answered'; answer?: AgentAnswer; waiters: Reply[]; submission: number; work: RequestWork};

const slots = 1;
const maximumQueued = 2;

export class ModelAgent {
	incarnation = 1;
	readonly worker: string;
	private readonly clock: Clock;
	private readonly runs: Run[];
	private entries = new Map<RequestId, Entry>();

	constructor(worker: string, clock: Clock, runs: Run[]) {
		this.worker = worker;
		this.clock = clock;
		this.runs = runs;
	}

	get place(): Place {
		const place: unknown = {worker: this.worker, incarnation: `i${this.incarnation}`};
		return place as Place;
	}

	/** Starts over with a new incarnation and an empty memory. */
	restart(): void {
		this.incarnation++;
		this.entries = new Map();
	}

	run(work: RequestWork, submission: number, reply: Reply): void {
		const known = this.entries.get(work.requestId);
		if (known?.answer !== undefined) {
			reply(known.answer);
		} else if (known !== undefined) {
			known.waiters.push(reply);
		} else if (this.count('queued') >= maximumQueued) {
			reply(this.refuse(work, submission, 'queue-full'));
		} else {
			this.entries.set(work.requestId, {
				status: 'queued', waiters: [reply], submission, work,
			});
			this.startQueued();
		}
	}

	find(requestId: RequestId): FindResult {
		const known = this.entries.get(requestId);
		if (known === undefined) {
			return {kind: 'never-seen'};
		}

		return known.answer === undefined ? {kind: known.status === 'queued' ? 'queued' : 'running'} : {kind: 'answered', answer: known.answer};
	}

	withdraw(work: RequestWork, submission: number): WithdrawResult {
		const known = this.entries.get(work.requestId);
		if (known === undefined || known.status === 'queued') {
			const answer = this.refuse(work, submission, 'withdrawn');
			for (const waiter of known?.waiters ?? []) {
				waiter(answer);
			}

			return {kind: 'withdrawn'};
		}

		if (known.answer === undefined) {
			return {kind: 'running'};
		}

		return known.answer.kind === 'refused' && known.answer.reason === 'withdrawn' ? {kind: 'withdrawn'} : {kind: 'answered', answer: known.answer};
	}

	private refuse(work: RequestWork, submission: number, reason: RefusalReason): AgentAnswer {
		const answer: AgentAnswer = {kind: 'refused', reason};
		this.entries.set(work.requestId, {
			status: 'answered', answer, waiters: [], submission, work,
		});
		return answer;
	}

	private count(status: Entry['status']): number {
		return [...this.entries.values()].filter(entry => entry.status === status).length;
	}

	private startQueued(): void {
		for (const [requestId, entry] of this.entries) {
			if (entry.status === 'queued' && this.count('running') < slots) {
				entry.status = 'running';
				this.runs.push({requestId, submission: entry.submission, worker: this.worker});
				const {incarnation} = this;
				const {milliseconds} = entry.work.payload as Readonly<{milliseconds: number}>;
				this.clock.schedule(milliseconds, () => {
					if (this.incarnation === incarnation) {
						this.finish(entry, milliseconds);
					}
				});
			}
		}
	}

	private finish(entry: Entry, milliseconds: number): void {
		entry.status = 'answered';
		entry.answer = {
			kind: 'ran', result: {
				status: 'succeeded', body: entry.work.requestId, serviceMilliseconds: milliseconds, queueMilliseconds: 0,
			},
		};
		for (const waiter of entry.waiters) {
			waiter(entry.answer);
		}

		this.startQueued();
	}
}
