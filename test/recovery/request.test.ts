import {expect} from 'chai';
import fc from 'fast-check';
import type {RequestId} from '#core';
import type {Variant} from './model-entry.js';
import {Simulation} from './simulation.js';

const identifierTime = Date.UTC(2026, 0, 1).toString(16).padStart(12, '0');
const identify = (number: number) => `${identifierTime.slice(0, 8)}-${identifierTime.slice(8)}-7000-8000-${number.toString(16).padStart(12, '0')}` as RequestId;
const first = identify(1);

type Case = Readonly<{
	name: string;
	simplified: Exclude<Variant, 'complete'>;
	violation: string;
	simulate(simulation: Simulation): void;
}>;

const cases: readonly Case[] = [
	{
		name: 'the entry crashes after dispatch and the caller retries through another entry',
		simplified: 'no-claims',
		violation: 'ran-twice',
		simulate(simulation) {
			simulation.submit(0, first);
			simulation.clock.advance(25);
			simulation.killEntry(0);
			simulation.submit(1, first, {retry: true});
		},
	},
	{
		name: 'the agent\'s answer is lost with the connection',
		simplified: 'blind-retry',
		violation: 'ran-twice',
		simulate(simulation) {
			simulation.submit(0, first);
			simulation.clock.advance(35);
			for (const worker of [0, 1, 2]) {
				simulation.breakConnection(0, worker, 20);
			}
		},
	},
	{
		name: 'the agent restarts without its records',
		simplified: 'blind-retry',
		violation: 'ran-twice',
		simulate(simulation) {
			simulation.submit(0, first);
			simulation.clock.advance(35);
			for (const worker of [0, 1, 2]) {
				simulation.restartAgent(worker);
			}
		},
	},
	{
		name: 'the reply to the claim write is lost and the write was not applied',
		simplified: 'assumes-written',
		violation: 'ran-twice',
		simulate(simulation) {
			simulation.store.lostWrites = 1;
			simulation.submit(0, first);
			simulation.clock.advance(25);
			simulation.killEntry(0);
			simulation.submit(1, first, {retry: true});
		},
	},
	{
		name: 'two entries claim the same identifier concurrently',
		simplified: 'no-claims',
		violation: 'ran-twice',
		simulate(simulation) {
			simulation.submit(0, first);
			simulation.submit(1, first, {retry: true});
		},
	},
	{
		name: 'the deadline passes while the request is queued and the work then runs',
		simplified: 'assumes-withdrawn',
		violation: 'false-not-run',
		simulate(simulation) {
			simulation.fillSlots();

			simulation.submit(0, first, {usefulFor: 100});
		},
	},
	{
		name: 'a cancellation races with the start',
		simplified: 'assumes-withdrawn',
		violation: 'false-not-run',
		simulate(simulation) {
			const submission = simulation.submit(0, first);
			simulation.clock.advance(14);
			simulation.cancel(submission);
		},
	},
	{
		name: 'answers arrive late and out of order',
		simplified: 'blind-retry',
		violation: 'false-not-run',
		simulate(simulation) {
			simulation.submit(0, first, {milliseconds: 200});
			simulation.clock.advance(30);
			for (const worker of [0, 1, 2]) {
				simulation.breakConnection(0, worker, 500);
			}

			simulation.clock.advance(50);
			simulation.submit(1, first, {retry: true, milliseconds: 200});
		},
	},
	{
		name: 'the store becomes unavailable between two submissions of the same identifier',
		simplified: 'no-claims',
		violation: 'ran-twice',
		simulate(simulation) {
			simulation.submit(0, first);
			simulation.clock.advance(25);
			simulation.store.isDown = true;
			simulation.submit(1, first, {retry: true});
		},
	},
	{
		name: 'many cancellations arrive for queued and running requests',
		simplified: 'assumes-withdrawn',
		violation: 'false-not-run',
		simulate(simulation) {
			const submissions = Array.from({length: 12}, (_, number) => simulation.submit(number % 2, identify(number)));
			simulation.clock.advance(20);
			for (const submission of submissions) {
				simulation.cancel(submission);
			}
		},
	},
];

/** Collects the violations over 50 seeds; a single seed may miss the window of a race. */
function findViolations(variant: Variant, simulate: Case['simulate']): ReadonlySet<string> {
	const found = new Set<string>();
	for (let seed = 0; seed < 50; seed++) {
		const simulation = new Simulation(seed, variant);
		simulate(simulation);
		simulation.clock.advance(10_000);
		for (const violation of simulation.findViolations()) {
			found.add(violation);
		}
	}

	return found;
}

describe('requests: faults that break a simplified protocol', () => {
	for (const {name, simplified, violation, simulate} of cases) {
		it(`${name}: ${simplified} shows ${violation}, the complete protocol does not`, () => {
			expect([...findViolations(simplified, simulate)]).to.include(violation);
			expect([...findViolations('complete', simulate)]).to.deep.equal([]);
		});
	}
});

const actionKinds = [
	'submit',
	'submit',
	'submit',
	'submit',
	'retry',
	'retry',
	'retry',
	'cancel',
	'break',
	'break',
	'restart',
	'store-down',
	'lose-answers',
	'lose-writes',
	'kill-entry',
	'slow',
] as const;
type Action = Readonly<{at: number; kind: typeof actionKinds[number]; pick: number; idempotent: boolean; milliseconds: number}>;

const actionArbitrary: fc.Arbitrary<Action> = fc.record({
	at: fc.integer({min: 0, max: 600}),
	kind: fc.constantFrom(...actionKinds),
	pick: fc.nat(11),
	idempotent: fc.boolean(),
	milliseconds: fc.integer({min: 1, max: 200}),
});

function act(simulation: Simulation, {kind, pick, idempotent, milliseconds}: Action): void {
	const entry = pick % 2;
	const worker = pick % 3;
	switch (kind) {
		case 'submit': {
			simulation.submit(entry, identify(simulation.submissions.length + 100), {idempotent, milliseconds, usefulFor: 20 + (milliseconds * 3)});
			break;
		}

		case 'retry': {
			const earlier = simulation.submissions[pick % Math.max(1, simulation.submissions.length)];
			// An entry runs one submission of an identifier at a time; concurrent ones wait for its answer.
			if (earlier !== undefined && !simulation.isPending(entry, earlier.requestId)) {
				simulation.submit(entry, earlier.requestId, {
					idempotent: earlier.idempotent, retry: true, milliseconds, usefulFor: 20 + (milliseconds * 3),
				});
			}

			break;
		}

		case 'cancel': {
			const earlier = simulation.submissions.at(-1);
			if (earlier !== undefined) {
				simulation.cancel(earlier);
			}

			break;
		}

		case 'break': {
			simulation.breakConnection(entry, worker, milliseconds * 2);
			break;
		}

		case 'restart': {
			simulation.restartAgent(worker);
			break;
		}

		case 'store-down': {
			simulation.store.isDown = true;
			simulation.clock.schedule(milliseconds, () => {
				simulation.store.isDown = false;
			});
			break;
		}

		case 'lose-answers': {
			simulation.store.lostAnswers += 1 + entry;
			break;
		}

		case 'lose-writes': {
			simulation.store.lostWrites += 1 + entry;
			break;
		}

		case 'kill-entry': {
			if (pick === 0) {
				simulation.killEntry(0);
			}

			break;
		}

		case 'slow': {
			simulation.slowNetwork(milliseconds / 10);
			break;
		}
	}
}

describe('requests under random fault schedules', () => {
	it('runs no non-idempotent identifier twice, reports no executed work as not-run, and answers each caller once', () => {
		fc.assert(fc.property(fc.nat(), fc.array(actionArbitrary, {minLength: 5, maxLength: 40}), (seed, actions) => {
			const simulation = new Simulation(seed, 'complete');
			for (const action of actions) {
				simulation.clock.schedule(action.at, () => {
					act(simulation, action);
				});
			}

			simulation.clock.advance(130_000);
			expect(simulation.findViolations()).to.deep.equal([]);
			expect(simulation.findUnanswered()).to.deep.equal([]);
		}), {numRuns: 1000, seed: 20_261_204});
	});
});
