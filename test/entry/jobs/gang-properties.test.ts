import {expect} from 'chai';
import fc from 'fast-check';
import {createCluster} from '#test/support/gangs/cluster';
import {noFaults} from '#test/support/gangs/network';
import {
	createWork, gangOf, jobIdOf, planOf,
} from '#test/support/gangs/work';

const second = 1000;

describe('gang scheduling under random faults', () => {
	it('random faults never leave part of a gang running, reserve an accelerator twice or lose a job', () => {
		const event = fc.record({
			at: fc.integer({min: 0, max: 40}),
			kind: fc.constantFrom('kill-entry', 'pause-entry', 'pause-agent', 'restart-agent', 'cancel', 'submit'),
			target: fc.integer({min: 1, max: 3}),
			seconds: fc.integer({min: 1, max: 25}),
		});
		const schedule = fc.record({
			seed: fc.integer({min: 1, max: 1_000_000}),
			loss: fc.double({min: 0, max: 0.3, noNaN: true}),
			repeat: fc.double({min: 0, max: 0.3, noNaN: true}),
			events: fc.array(event, {maxLength: 8}),
		});
		fc.assert(fc.property(schedule, ({seed, loss, repeat, events}) => {
			const cluster = createCluster({
				seed, workers: 3, accelerators: 8, entries: 3, cells: new Map([[1, [{plan: planOf('urgent'), accelerators: [0, 1, 2, 3, 4, 5, 6, 7]}]]]),
			});
			cluster.setFaults({
				loss, repeat, maximumDelay: 400, lostWriteAnswers: loss,
			});
			let next = 1;
			const submit = (entry: number) => {
				const gang = gangOf(1 + (next % 4));
				const variants = [{plan: planOf('urgent')}, {preemptible: true}, {}];
				cluster.submit(createWork(next, {
					idempotent: next % 2 === 0, gang, payload: {milliseconds: 2000 * next, isStubborn: next % 4 === 1}, ...variants[next % variants.length],
				}), entry);
				next++;
			};

			submit(1);
			submit(2);
			submit(3);
			for (const {at, kind, target, seconds} of events) {
				cluster.clock.schedule(at * second, () => {
					switch (kind) {
						case 'kill-entry': {
							// One entry always remains.
							if (target !== 3) {
								cluster.killEntry(target);
							}

							break;
						}

						case 'pause-entry': {
							cluster.pauseEntry(target, seconds * second);
							break;
						}

						case 'pause-agent': {
							cluster.pauseAgent(target, seconds * second);
							break;
						}

						case 'restart-agent': {
							cluster.restartAgent(target);
							break;
						}

						case 'cancel': {
							cluster.cancel(jobIdOf(target));
							break;
						}

						case 'submit': {
							submit(3);
						}
					}
				});
			}

			cluster.clock.advance(45 * second);
			cluster.setFaults(noFaults);
			cluster.clock.advance(180 * second);
			expect(cluster.observer.violations).to.deep.equal([]);
			for (let number = 1; number < next; number++) {
				const {work, cancelRequested} = cluster.recordOf(jobIdOf(number));
				// No task fails here, so an idempotent job always finishes unless it is cancelled.
				const allowed = work.idempotent ? ['finished'] : ['finished', 'failed', 'unknown'];
				expect(cluster.stateOf(jobIdOf(number))).to.be.oneOf(cancelRequested ? [...allowed, 'cancelled'] : allowed, `job ${number}`);
			}
		}), {seed: 11, numRuns: 60, endOnFailure: false});
	});
});
