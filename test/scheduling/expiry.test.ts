/** Asks of each belief that the scheduler holds about workers and runs when it ends at the latest. */
import {expect} from 'chai';
import type {WorkerId} from '#core';
import {lateCallMilliseconds} from '#jobs';
import {
	grantSlackMilliseconds, grantValidityMilliseconds, maximumLeaseMilliseconds, orderDeliveryMilliseconds, slowClockFactor, startConfirmationMilliseconds, taskAvoidanceMilliseconds,
	unreadMilliseconds, type SchedulerEffect,
} from '#scheduling';
import {
	configuration, createDriver, createReadyDriver, endedRunOf, reportedRunOf, snapshotOf, startsOf, submissionOf, taskOf, type Driver, type WorkerOptions,
} from '#test/support/scheduling';

/** Time after the last grant at which all runs that it kept alive have ended. */
const grantOverMilliseconds = (grantValidityMilliseconds * slowClockFactor) + grantSlackMilliseconds;
/** Agents renew twice a second, and the scheduler checks four times a second. */
const checkMilliseconds = 250;

/** Lets time pass while the worker beside agent `b` reports; `renewLost` is what the agent beside the lost worker does. */
function elapse(driver: Driver, duration: number, renewLost: () => void): readonly SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (let passed = 0; passed < duration; passed += checkMilliseconds) {
		renewLost();
		effects.push(...driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')}), ...driver.elapse(Math.min(checkMilliseconds, duration - passed)));
	}

	return effects;
}

type Renewal = 'without-worker' | 'none';

type LostWorkerCase = Readonly<{
	name: string;
	/** Whether the end of the agent's connection is noticed. */
	isDetached: boolean;
	renewals: Renewal;
}>;

const lostWorkerCases: readonly LostWorkerCase[] = [
	{name: 'its agent starts again and knows no worker (job that waits without end for a lost worker)', isDetached: true, renewals: 'without-worker'},
	{name: 'its agent starts again, and its new connection replaces the earlier one (job that waits without end for a lost worker)', isDetached: false, renewals: 'without-worker'},
	{name: 'its agent is gone (job that waits without end for a lost worker)', isDetached: true, renewals: 'none'},
	{name: 'its agent stops reporting over an open connection (job that waits without end for a lost worker)', isDetached: false, renewals: 'none'},
];

function renewAs(driver: Driver, renewals: Renewal): () => void {
	return () => {
		if (renewals === 'without-worker') {
			driver.send({kind: 'renewed', agent: 'a', snapshot: undefined});
		}
	};
}

type UnconfirmedCase = Readonly<{
	name: string;
	/** When the scheduler takes the run to be over, at the latest, if no other scheduler can have extended it. */
	isOverAfter: number;
	/** Prepares a task that may run on the worker beside agent `a`, of which the scheduler learns nothing more. */
	prepare(driver: Driver): void;
}>;

const unconfirmedCases: readonly UnconfirmedCase[] = [
	{
		name: 'the run of a worker whose agent went over to it',
		prepare(driver) {
			driver.send({kind: 'loaded', jobs: [], workers: []});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a')});
			driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1001, result: 'started'}]});
			driver.send({kind: 'detached', agent: 'a'});
		},
		isOverAfter: grantOverMilliseconds,
	},
	{
		name: 'the run of a worker that has not reported yet',
		prepare(driver) {
			const progress = {outcome: 'running', tasks: {}, agents: ['a', 'b']} as const;
			driver.send({
				kind: 'loaded',
				jobs: [{
					submission: submissionOf(1, [{}]), isCancelled: false, progress, keyVersion: 1,
				}],
				workers: [{agent: 'a', worker: 'w-a' as WorkerId}],
			});
		},
		isOverAfter: unreadMilliseconds,
	},
	{
		name: 'a start that was carried out late',
		prepare(driver) {
			driver.send({kind: 'loaded', jobs: [], workers: []});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a')});
			driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1001, result: 'unknown'}]});
			driver.send({kind: 'detached', agent: 'a'});
		},
		isOverAfter: orderDeliveryMilliseconds + lateCallMilliseconds + maximumLeaseMilliseconds,
	},
];

describe('a scheduler whose lease is not confirmed', () => {
	for (const {name, prepare, isOverAfter} of unconfirmedCases) {
		it(`does not take for over what the next one may have extended: ${name} (two runs of one task)`, () => {
			const driver = createDriver({epoch: 2});
			driver.send({kind: 'configured', configuration});
			prepare(driver);
			driver.send({kind: 'lease-confirmed', until: driver.time() + isOverAfter - checkMilliseconds});
			expect(startsOf(elapse(driver, isOverAfter + 4000, () => undefined))).to.deep.equal([]);
			driver.send({kind: 'lease-confirmed', until: driver.time() + 1000});
			expect(startsOf(elapse(driver, 2 * checkMilliseconds, () => undefined))).to.have.length(1);
		});
	}
});

describe('what a scheduler believes of a lost worker', () => {
	for (const {name, isDetached, renewals} of lostWorkerCases) {
		it(`ends with the last grant: ${name}`, () => {
			const driver = createReadyDriver([['a']]);
			expect(startsOf(driver.send({kind: 'submitted', submission: submissionOf(1, [{}])}))).to.have.length(1);
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'started'}]});
			if (isDetached) {
				driver.send({kind: 'detached', agent: 'a'});
			}

			const renewLost = renewAs(driver, renewals);
			expect(startsOf(elapse(driver, grantValidityMilliseconds, renewLost)), 'starts before the grant is over').to.deep.equal([]);
			expect(startsOf(elapse(driver, grantOverMilliseconds - grantValidityMilliseconds + checkMilliseconds, renewLost))).to.deep.equal([{
				agent: 'b', task: taskOf(1), run: 2, checkpoint: '',
			}]);
		});

		it(`ends with the last grant also after a takeover: ${name}`, () => {
			const driver = createDriver({epoch: 2});
			driver.send({kind: 'configured', configuration});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running: [reportedRunOf(taskOf(1), 1)]})});
			if (isDetached) {
				driver.send({kind: 'detached', agent: 'a'});
			}

			const renewLost = renewAs(driver, renewals);
			driver.elapse(500);
			renewLost();
			driver.send({
				kind: 'loaded',
				jobs: [{
					submission: submissionOf(1, [{}]), isCancelled: false, progress: {outcome: 'running', tasks: {}}, keyVersion: 4,
				}],
				workers: [{agent: 'a', worker: 'w-a' as WorkerId}],
			});
			expect(startsOf(elapse(driver, grantValidityMilliseconds - 500, renewLost)), 'starts before the grant is over').to.deep.equal([]);
			expect(startsOf(elapse(driver, grantOverMilliseconds - grantValidityMilliseconds + checkMilliseconds, renewLost)).map(({agent}) => agent)).to.deep.equal(['b']);
		});
	}

	it('does not outlast a renewal without it: no task starts there (starts that no worker receives, while others are idle)', () => {
		const driver = createReadyDriver([['a']]);
		driver.send({kind: 'detached', agent: 'a'});
		driver.send({kind: 'renewed', agent: 'a', snapshot: undefined});
		expect(startsOf(driver.send({kind: 'submitted', submission: submissionOf(1, [{}])}))).to.deep.equal([]);
	});

	it('keeps the runs of one that is only silent while its agent starts again (task run twice)', () => {
		const driver = createReadyDriver([['a']]);
		driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
		driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'started'}]});
		driver.send({kind: 'detached', agent: 'a'});
		elapse(driver, 6000, renewAs(driver, 'without-worker'));
		const report = () => {
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running: [reportedRunOf(taskOf(1), 1)]})});
		};

		expect(startsOf(elapse(driver, 3000, report))).to.deep.equal([]);
	});
});

type AvoidedCase = Readonly<{
	name: string;
	step: Parameters<typeof submissionOf>[1][number];
	/** What happens to the task's first run. */
	fault: 'unanswered' | 'failed' | 'stuck';
}>;

const avoidedCases: readonly AvoidedCase[] = [
	{name: 'one start was not answered (task that waits without end beside the only worker with room)', step: {}, fault: 'unanswered'},
	{name: 'a run failed there (task that waits without end beside the only worker with room)', step: {}, fault: 'failed'},
	{name: 'a run got stuck there (task that waits without end beside the only worker with room)', step: {}, fault: 'stuck'},
	{
		name: 'a run of its gang failed there, and the others seem to have room once their work ends (gang that waits without end)',
		step: {count: 2, accelerators: 4, isGang: true}, fault: 'failed',
	},
];

/** Reports the worker beside agent `a` twice a second and returns the starts. */
function reportAvoided(driver: Driver, duration: number, running: (time: number) => WorkerOptions): ReturnType<typeof startsOf> {
	const effects: SchedulerEffect[] = [];
	for (let passed = 0; passed < duration; passed += checkMilliseconds) {
		effects.push(
			...driver.elapse(checkMilliseconds),
			...driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', running(driver.time()))}),
			...driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b', {running: [reportedRunOf(taskOf(9), 1, Math.floor(driver.time() / 1000))]})}),
		);
	}

	return startsOf(effects);
}

describe('what a scheduler believes of a worker that a task avoids', () => {
	for (const {name, step, fault} of avoidedCases) {
		it(`ends after a while: ${name}`, () => {
			const driver = createReadyDriver([['b']]);
			// Takes 100 s by its progress, and is of the same rank.
			driver.send({kind: 'submitted', submission: submissionOf(9, [{accelerators: 8, estimatedMilliseconds: 100_000}])});
			driver.send({kind: 'start-answered', agent: 'b', answers: [{task: taskOf(9), run: 1, result: 'started'}]});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a')});
			const starts = startsOf(driver.send({kind: 'submitted', submission: submissionOf(1, [step])}));
			expect(new Set(starts.map(({agent}) => agent))).to.deep.equal(new Set(['a']));
			const answers = starts.map(({task, run}) => ({task, run, result: fault === 'unanswered' ? 'unknown' as const : 'started' as const}));
			driver.send({kind: 'start-answered', agent: 'a', answers});
			const orders = starts.map(({task, run}) => ({task, run}));
			const running = starts.map(({task, run}) => reportedRunOf(task, run, 20));
			const ended = (ending: 'failed' | 'stopped') => starts.map(({task, run}, index) => endedRunOf(index + 1, task, run, ending));
			switch (fault) {
				case 'unanswered': {
					driver.elapse(startConfirmationMilliseconds + checkMilliseconds);
					driver.send({
						kind: 'stop-answered', agent: 'a', incarnation: '1', orders,
					});
					break;
				}

				case 'failed': {
					driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {ended: ended('failed')})});
					break;
				}

				case 'stuck': {
					reportAvoided(driver, 6000, () => ({running}));
					driver.send({
						kind: 'stop-answered', agent: 'a', incarnation: '1', orders,
					});
					driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {ended: ended('stopped')})});
				}
			}

			const early = reportAvoided(driver, taskAvoidanceMilliseconds - 3000, () => ({}));
			expect(early, 'starts while the worker is avoided').to.deep.equal([]);
			expect(new Set(reportAvoided(driver, 3000 + checkMilliseconds, () => ({})).map(({agent}) => agent))).to.deep.equal(new Set(['a']));
		});
	}
});
