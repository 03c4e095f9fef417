import {expect} from 'chai';
import {
	containUnexpectedErrors, createCounters, createVirtualClock, silentLog, startTask, type ErrorSource,
} from '#kernel';

type State = Readonly<{total: number}>;
type Message = Readonly<{kind: 'add'; amount: number}>;
type Effect = Readonly<{kind: 'show'; amount: number}>;

function startFailingTask() {
	const errors: unknown[] = [];
	const shown: number[] = [];
	const task = startTask<State, Message, Effect>({
		name: 'sum',
		initialState: {total: 0},
		receive(state, {amount}) {
			if (amount < 0) {
				throw new Error('negative amount');
			}

			return {state: {total: state.total + amount}, effects: [{kind: 'show', amount}, {kind: 'show', amount: -amount}]};
		},
	}, {
		clock: createVirtualClock(),
		perform({amount}) {
			if (amount === 13) {
				throw new Error('cannot be shown');
			}

			shown.push(amount);
		},
		reportError(error) {
			errors.push(error);
		},
	});
	return {task, errors, shown};
}

const taskCases: ReadonlyArray<Readonly<{name: string; amounts: readonly number[]; total: number; shown: readonly number[]; errors: number}>> = [
	{
		name: 'a message whose handling throws changes nothing, and later ones are handled (one bad message ends the task)', amounts: [1, -1, 2], total: 3, shown: [1, -1, 2, -2], errors: 1,
	},
	{
		name: 'an effect that throws does not keep others from being performed (orders lost behind a failed one)', amounts: [13, 1], total: 14, shown: [-13, 1, -1], errors: 1,
	},
];

describe('unexpected errors in a task', () => {
	for (const {name, amounts, total, shown, errors} of taskCases) {
		it(name, () => {
			const started = startFailingTask();
			for (const amount of amounts) {
				started.task.send({kind: 'add', amount});
			}

			expect(started.task.read()).to.deep.equal({total});
			expect(started.shown).to.deep.equal(shown);
			expect(started.errors).to.have.length(errors);
		});
	}
});

const processCases: ReadonlyArray<Readonly<{name: string; count: number; interval: number; exits: readonly number[]}>> = [
	{
		name: 'a program goes on after single errors (one unexpected error ends a whole process)', count: 40, interval: 1000, exits: [],
	},
	{
		name: 'a program ends if errors keep coming (process that serves nobody and is not restarted)', count: 21, interval: 10, exits: [1],
	},
];

describe('unexpected errors in a program', () => {
	for (const {name, count, interval, exits} of processCases) {
		it(name, () => {
			const clock = createVirtualClock();
			const codes: number[] = [];
			const listeners = new Map<string, (error: unknown) => void>();
			const source: ErrorSource = {
				on: (event, listener) => listeners.set(event, listener),
				exit(code) {
					codes.push(code);
				},
			};
			containUnexpectedErrors(source, {clock, counters: createCounters(), log: silentLog});
			for (let index = 0; index < count; index++) {
				listeners.get(index % 2 === 0 ? 'uncaughtException' : 'unhandledRejection')?.(new Error('unexpected'));
				clock.advance(interval);
			}

			expect(codes).to.deep.equal(exits);
		});
	}
});
