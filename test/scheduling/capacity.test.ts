import {expect} from 'chai';
import {
	createReadyDriver, reportedRunOf, snapshotOf, startsOf, submissionOf, taskOf, type Driver,
} from '#test/support/scheduling';

const capacityOf = (accelerators: number) => ({processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators});

/** One worker runs a task that needs four of its eight accelerators. */
function createBusyDriver(): Driver {
	const driver = createReadyDriver([['a']]);
	driver.send({kind: 'submitted', submission: submissionOf(1, [{accelerators: 4}])});
	driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'started'}]});
	return driver;
}

const running = [reportedRunOf(taskOf(1), 1)];
const second = {kind: 'submitted', submission: submissionOf(2, [{accelerators: 4}])} as const;

type Case = Readonly<{name: string; run(driver: Driver): void}>;

const cases: readonly Case[] = [
	{
		name: 'a worker whose capacity shrank gets no start beyond it (worker over its capacity)',
		run(driver) {
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running, capacity: capacityOf(6)})});
			expect(startsOf([...driver.send(second), ...driver.elapse(1000)])).to.deep.equal([]);
		},
	},
	{
		name: 'a run that is being stopped still uses the capacity (worker over its capacity)',
		run(driver) {
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running, capacity: capacityOf(6)})});
			driver.send({kind: 'cancelled', job: submissionOf(1, [{}]).job});
			driver.send({
				kind: 'stop-answered', agent: 'a', incarnation: '1', orders: [{task: taskOf(1), run: 1}],
			});
			expect(startsOf([...driver.send(second), ...driver.elapse(500)])).to.deep.equal([]);
		},
	},
	{
		name: 'work starts as soon as the capacity has grown again (room left unused)',
		run(driver) {
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running, capacity: capacityOf(6)})});
			driver.send(second);
			const effects = driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running, capacity: capacityOf(8)})});
			expect(startsOf(effects).map(({task}) => task)).to.deep.equal([taskOf(2)]);
		},
	},
	{
		name: 'a capacity below what runs stops nothing (work lost to a capacity that soon grows again)',
		run(driver) {
			const effects = [...driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running, capacity: capacityOf(2)})}), ...driver.elapse(500)];
			expect(effects.filter(({kind}) => kind === 'stop')).to.deep.equal([]);
		},
	},
];

describe('workers whose capacity changes', () => {
	for (const {name, run} of cases) {
		it(name, () => {
			run(createBusyDriver());
		});
	}
});
