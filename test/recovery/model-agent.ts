/** Model of an agent with a ledger of identifiers, a bounded queue and one slot. */
import type {
	AgentAnswer, Place, RefusalReason, RequestId, RequestWork,
} from '#core';
import type {Clock} from '#kernel';
import type {FindResult, WithdrawResult} from '#protocol';

export type Run = Readonly<{requestId: RequestId; submission: number; worker: string}>;
export type Reply = (answer: AgentAnswer) => void;

type LedgerRecord = {status: 'queued' | 'running' | 'answered'; answer?: AgentAnswer; waiters: Reply[]; submission: number; work: RequestWork};

const slots = 1;
const maximumQueued = 2;

export class ModelAgent {
	incarnation = 1;
	readonly worker: string;
	private readonly clock: Clock;
	private readonly runs: Run[];
	private records = new Map<RequestId, LedgerRecord>();

	constructor(worker: string, clock: Clock, runs: Run[]) {
		this.worker = worker;
		this.clock = clock;
		this.runs = runs;
	}

	get place(): Place {
		const place: unknown = {worker: this.worker, incarnation: `i${this.incarnation}`};
		return place as Place;
	}

	/** Starts a new incarnation with an empty ledger. */
	restart(): void {
		this.incarnation++;
		this.records = new Map();
	}

	run(work: RequestWork, submission: number, reply: Reply): void {
		const existing = this.records.get(work.requestId);
		if (existing?.answer !== undefined) {
			reply(existing.answer);
		} else if (existing !== undefined) {
			existing.waiters.push(reply);
		} else if (this.count('queued') >= maximumQueued) {
			reply(this.refuse(work, submission, 'queue-full'));
		} else {
			this.records.set(work.requestId, {
				status: 'queued', waiters: [reply], submission, work,
			});
			this.startQueued();
		}
	}

	find(requestId: RequestId): FindResult {
		const existing = this.records.get(requestId);
		if (existing === undefined) {
			return {kind: 'never-seen'};
		}

		return existing.answer === undefined ? {kind: existing.status === 'queued' ? 'queued' : 'running'} : {kind: 'answered', answer: existing.answer};
	}

	withdraw(work: RequestWork, submission: number): WithdrawResult {
		const existing = this.records.get(work.requestId);
		if (existing === undefined || existing.status === 'queued') {
			const answer = this.refuse(work, submission, 'withdrawn');
			for (const waiter of existing?.waiters ?? []) {
				waiter(answer);
			}

			return {kind: 'withdrawn'};
		}

		if (existing.answer === undefined) {
			return {kind: 'running'};
		}

		return existing.answer.kind === 'refused' && existing.answer.reason === 'withdrawn' ? {kind: 'withdrawn'} : {kind: 'answered', answer: existing.answer};
	}

	private refuse(work: RequestWork, submission: number, reason: RefusalReason): AgentAnswer {
		const answer: AgentAnswer = {kind: 'refused', reason};
		this.records.set(work.requestId, {
			status: 'answered', answer, waiters: [], submission, work,
		});
		return answer;
	}

	private count(status: LedgerRecord['status']): number {
		return [...this.records.values()].filter(record => record.status === status).length;
	}

	private startQueued(): void {
		for (const [requestId, record] of this.records) {
			if (record.status === 'queued' && this.count('running') < slots) {
				record.status = 'running';
				this.runs.push({requestId, submission: record.submission, worker: this.worker});
				const {incarnation} = this;
				const {milliseconds} = record.work.payload as Readonly<{milliseconds: number}>;
				this.clock.schedule(milliseconds, () => {
					if (this.incarnation === incarnation) {
						this.finish(record, milliseconds);
					}
				});
			}
		}
	}

	private finish(record: LedgerRecord, milliseconds: number): void {
		record.status = 'answered';
		record.answer = {
			kind: 'ran', result: {
				status: 'succeeded', body: record.work.requestId, serviceMilliseconds: milliseconds, queueMilliseconds: 0,
			},
		};
		for (const waiter of record.waiters) {
			waiter(record.answer);
		}

		this.startQueued();
	}
}
