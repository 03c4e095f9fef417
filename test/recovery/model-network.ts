/** Connections between one entry and the agents; a broken one fails its calls, which may still have been delivered. */
import {
	pickInteger, type Place, type RandomSource, type WorkerId,
} from '#core';
import type {Clock} from '#kernel';
import type {ModelAgent} from './model-agent.js';

type Call = {isOver: boolean; fail(): void};

export type Delivery = Readonly<{
	deliver(agent: ModelAgent, respond: (receive: () => void) => void): void;
	fail(delivery: 'never-sent' | 'perhaps-sent'): void;
}>;

export class ModelNetwork {
	/** Shortest one-way delay; the longest is 4 ms more. */
	minimumLatency = 1;
	private readonly agents: readonly ModelAgent[];
	private readonly clock: Clock;
	private readonly random: RandomSource;
	private readonly calls = new Map<string, Set<Call>>();
	private readonly cut = new Set<string>();

	constructor(agents: readonly ModelAgent[], clock: Clock, random: RandomSource) {
		this.agents = agents;
		this.clock = clock;
		this.random = random;
	}

	call(place: Place, {deliver, fail}: Delivery): void {
		const agent = this.findAgent(place);
		if (agent === undefined) {
			fail('never-sent');
			return;
		}

		const pending: Call = {
			isOver: false,
			fail() {
				pending.isOver = true;
				fail('perhaps-sent');
			},
		};
		const calls = this.calls.get(agent.worker) ?? new Set();
		this.calls.set(agent.worker, calls.add(pending));
		this.later(() => {
			if (agent.place.incarnation !== place.incarnation || (pending.isOver && this.random() < 0.5)) {
				return;
			}

			deliver(agent, receive => {
				this.later(() => {
					if (!pending.isOver) {
						pending.isOver = true;
						calls.delete(pending);
						receive();
					}
				});
			});
		});
	}

	/** Calls back as soon as the place is connected, or after the last try. */
	whenConnected(place: Place, tries: number, callback: () => void): void {
		if (this.findAgent(place) !== undefined || tries === 0) {
			callback();
		} else {
			this.clock.schedule(20, () => {
				this.whenConnected(place, tries - 1, callback);
			});
		}
	}

	pick(excluded: readonly WorkerId[]): Place | undefined {
		const candidates = this.agents.filter(({place}) => this.findAgent(place) !== undefined && !excluded.includes(place.worker));
		return candidates[pickInteger(this.random, candidates.length)]?.place;
	}

	breakConnection(worker: string, downFor: number): void {
		this.cut.add(worker);
		const calls = [...this.calls.get(worker) ?? []];
		this.calls.delete(worker);
		for (const pending of calls.filter(({isOver}) => !isOver)) {
			pending.fail();
		}

		this.clock.schedule(downFor, () => {
			this.cut.delete(worker);
		});
	}

	private findAgent(place: Place): ModelAgent | undefined {
		return this.agents.find(agent => agent.worker === place.worker && agent.place.incarnation === place.incarnation && !this.cut.has(agent.worker));
	}

	private later(callback: () => void): void {
		this.clock.schedule(this.minimumLatency + (4 * this.random()), callback);
	}
}
