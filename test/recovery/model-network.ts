/** Model of the connections between one entry and the agents. A broken connection fails its calls, which may still be delivered. */
import {
	pickInteger, type Place, type RandomSource, type WorkerId,
} from '#core';
import type {Clock} from '#kernel';
import type {ModelAgent} from './model-agent.js';

type Call = {isSettled: boolean; fail(): void};

export type Delivery = Readonly<{
	deliver(agent: ModelAgent, respond: (receive: () => void) => void): void;
	fail(delivery: 'never-sent' | 'perhaps-sent'): void;
}>;

export class ModelNetwork {
	/** Minimum one-way latency in milliseconds; the maximum is 4 ms higher. */
	minimumLatency = 1;
	private readonly agents: readonly ModelAgent[];
	private readonly clock: Clock;
	private readonly random: RandomSource;
	private readonly calls = new Map<string, Set<Call>>();
	private readonly disconnected = new Set<string>();

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
			isSettled: false,
			fail() {
				pending.isSettled = true;
				fail('perhaps-sent');
			},
		};
		const calls = this.calls.get(agent.worker) ?? new Set();
		this.calls.set(agent.worker, calls.add(pending));
		this.later(() => {
			if (agent.place.incarnation !== place.incarnation || (pending.isSettled && this.random() < 0.5)) {
				return;
			}

			deliver(agent, receive => {
				this.later(() => {
					if (!pending.isSettled) {
						pending.isSettled = true;
						calls.delete(pending);
						receive();
					}
				});
			});
		});
	}

	/** Calls back once the place is connected, or after the last attempt. */
	whenConnected(place: Place, attempts: number, callback: () => void): void {
		if (this.findAgent(place) !== undefined || attempts === 0) {
			callback();
		} else {
			this.clock.schedule(20, () => {
				this.whenConnected(place, attempts - 1, callback);
			});
		}
	}

	pick(excluded: readonly WorkerId[]): Place | undefined {
		const candidates = this.agents.filter(({place}) => this.findAgent(place) !== undefined && !excluded.includes(place.worker));
		return candidates[pickInteger(this.random, candidates.length)]?.place;
	}

	breakConnection(worker: string, downFor: number): void {
		this.disconnected.add(worker);
		const calls = [...this.calls.get(worker) ?? []];
		this.calls.delete(worker);
		for (const pending of calls.filter(({isSettled}) => !isSettled)) {
			pending.fail();
		}

		this.clock.schedule(downFor, () => {
			this.disconnected.delete(worker);
		});
	}

	private findAgent(place: Place): ModelAgent | undefined {
		return this.agents.find(agent => agent.worker === place.worker && agent.place.incarnation === place.incarnation && !this.disconnected.has(agent.worker));
	}

	private later(callback: () => void): void {
		this.clock.schedule(this.minimumLatency + (4 * this.random()), callback);
	}
}
