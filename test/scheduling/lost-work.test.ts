/** Lost work is counted once, by reason. */
import {expect} from 'chai';
import type {SchedulerEffect} from '#scheduling';
import {
	createReadyDriver, endedRunOf, keyOf, snapshotOf, startsOf, submissionOf, type Driver,
} from '#test/support/scheduling';

type Start = ReturnType<typeof startsOf>[number];
type Case = Readonly<{
	name: string;
	step: Parameters<typeof submissionOf>[1][number];
	/** Lost core-seconds by reason. */
	losses: Readonly<Record<string, number>>;
	/** What happens 2 s after the start on the workers `a` and `b`. */
	act(driver: Driver, starts: readonly Start[]): readonly SchedulerEffect[];
}>;

const gang = {count: 2, accelerators: 8, isGang: true} as const;
/** A core and 8 accelerators that count as 8 cores each, for 2 s. */
const loss = 130;

function leave(driver: Driver, agent: string) {
	return driver.send({
		kind: 'incarnation-ended', agent, worker: snapshotOf(agent).worker, incarnation: '1', ending: 'left', ended: [],
	});
}

function fail(driver: Driver, {agent, task, run}: Start) {
	return driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {ended: [endedRunOf(1, task, run, 'failed')]})});
}

const cases: readonly Case[] = [
	{
		name: 'a run that was running when its worker left', step: {accelerators: 8}, losses: {'worker-left': loss}, act: (driver, [start]) => leave(driver, start!.agent),
	},
	{
		name: 'each member of a gang of which a worker left (only the member there counted)', step: gang, losses: {'worker-left': loss, 'member-lost': loss}, act: driver => leave(driver, 'a'),
	},
	{
		name: 'a failed run and the stop of the rest of its gang', step: gang, losses: {'run-failed': loss, 'member-ended': loss}, act: (driver, [start]) => fail(driver, start!),
	},
	{
		name: 'a run that was stopped before its agent was lost (counted again with the agent)',
		step: gang,
		losses: {'run-failed': loss, 'member-ended': loss},
		act(driver, [start, other]) {
			const effects = [...fail(driver, start!), ...driver.send({kind: 'detached', agent: other!.agent})];
			return [...effects, ...driver.elapse(10_000)];
		},
	},
	{
		name: 'a run that was stopped and then listed as ended (counted again with its end)',
		step: {accelerators: 8},
		losses: {'job-cancelled': loss},
		act(driver, [start]) {
			const {agent, task, run} = start!;
			const effects = driver.send({kind: 'cancelled', job: keyOf(1)});
			return [...effects, ...driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {ended: [endedRunOf(1, task, run, 'stopped')]})})];
		},
	},
];

function sumLosses(effects: readonly SchedulerEffect[]): Readonly<Record<string, number>> {
	const sums: Record<string, number> = {};
	for (const effect of effects) {
		if (effect.kind === 'log' && Number(effect.fields['lossCoreSeconds'] ?? 0) > 0) {
			const reason = String(effect.fields['lossReason']);
			sums[reason] = (sums[reason] ?? 0) + Number(effect.fields['lossCoreSeconds']);
		}
	}

	return sums;
}

describe('lost work is counted once', () => {
	for (const {name, step, losses, act} of cases) {
		it(name, () => {
			const driver = createReadyDriver([['a'], ['b']]);
			const starts = startsOf(driver.send({kind: 'submitted', submission: submissionOf(1, [step], {maximumAttempts: 2})}));
			for (const {agent, task, run} of starts) {
				driver.send({kind: 'start-answered', agent, answers: [{task, run, result: 'started'}]});
			}

			driver.elapse(2000);
			expect(sumLosses(act(driver, starts))).to.deep.equal(losses);
		});
	}
});
