import {expect} from 'chai';
import {lateCallMilliseconds} from '#jobs';
import {waitFor} from '#test/support/processes';
import {describeStep} from '#test/support/platform/caller';
import {startDeployment, type Deployment, type DeploymentOptions} from '#test/support/platform/deployment';
import {findRepeatedRuns} from '#test/support/platform/repeated-runs';
import type {PlatformWorker, StartRecord} from '#test/support/platform/worker';

const first = '00000000000000b1';
const second = '00000000000000b2';

/** A worker announces itself every 0.3 s, and its agent passes it on twice a second. */
const reportMilliseconds = 1000;

/** After each of two crashes, the task waits until its unanswered start can no longer be carried out. */
const giveUpMilliseconds = (2 * lateCallMilliseconds) + 20_000;

/** The platform's workers carry out a call that got no answer up to this long after it was sent. */
const latestCallMilliseconds = 12_000;

const workMilliseconds = 2000;

/** Its agent has asked the worker for its runs by then. */
const crashPauseMilliseconds = 500;

async function pause(milliseconds: number): Promise<undefined> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

async function submit(deployment: Deployment, job: string, count = 1): Promise<void> {
	await waitFor('acceptance', async () => {
		const answer = await deployment.call(0, 'POST', `/batch/${job}`, {spec: 'text', steps: [describeStep(count, [])]});
		return answer?.status === 200 ? answer : undefined;
	});
}

async function waitForState(deployment: Deployment, job: string, state: string, {entry = 0, timeout}: Readonly<{entry?: number; timeout?: number}> = {}): Promise<void> {
	await waitFor(`${job} ${state}`, async () => {
		const answer = await deployment.call(entry, 'GET', `/batch/${job}`);
		return (answer?.body as Readonly<{state?: string}> | undefined)?.state === state ? state : undefined;
	}, timeout);
}

const recordsOf = ({workers}: Deployment, job: string): readonly StartRecord[] => workers.flatMap(worker => worker.records()).filter(({task}) => task.startsWith(job));

async function waitForStart(deployment: Deployment, job: string, count = 1): Promise<StartRecord> {
	return waitFor(`start ${count} of ${job}`, async () => recordsOf(deployment, job)[count - 1]);
}

/** Lets only one of two workers take new work, so that the test knows where a task starts. */
async function allowOnly({workers}: Deployment, allowed: number): Promise<readonly [PlatformWorker, PlatformWorker]> {
	for (const [index, worker] of workers.entries()) {
		worker.setAccelerators(index === allowed ? 8 : 0);
	}

	await pause(reportMilliseconds);
	return [workers[allowed]!, workers[1 - allowed]!];
}

function allowAll({workers}: Deployment): void {
	for (const worker of workers) {
		worker.setAccelerators(8);
	}
}

/** Submits a job whose start the first worker does not answer; the task may start again on the second one only. */
async function leaveStartUnanswered(deployment: Deployment): Promise<PlatformWorker> {
	const [worker, other] = await allowOnly(deployment, 0);
	worker.delayOrders(['start'], 'until-told');
	await submit(deployment, first);
	await waitFor('late start', async () => worker.lateOrders()[0]);
	worker.answerOrders();
	worker.setAccelerators(0);
	other.setAccelerators(8);
	return worker;
}

type Case = Readonly<{name: string; options: DeploymentOptions; run(deployment: Deployment): Promise<void>}>;

const cases: readonly Case[] = [
	{
		name: 'an unanswered start that the worker\'s next incarnation carries out is no second run (start for an earlier incarnation)',
		options: {entries: 1, workers: 2, workMilliseconds: 4000},
		async run(deployment) {
			const worker = await leaveStartUnanswered(deployment);
			worker.crash({downMilliseconds: 100});
			await Promise.race([waitForStart(deployment, first), pause(4000)]);
			worker.carryOutLateOrders();
			await waitForState(deployment, first, 'completed');
		},
	},
	{
		name: 'an unanswered start of an earlier process of the agent that the next incarnation carries out is no second run (agent restarted together with its worker)',
		options: {entries: 1, workers: 2, workMilliseconds: 4000},
		async run(deployment) {
			const worker = await leaveStartUnanswered(deployment);
			worker.crash({downMilliseconds: 100});
			await deployment.restartAgent(0);
			await Promise.race([waitForStart(deployment, first), pause(4000)]);
			worker.carryOutLateOrders();
			await waitForState(deployment, first, 'completed');
		},
	},
	{
		name: 'an end that a worker listed just before it left is not lost with it (done task started again)',
		options: {entries: 1, workers: 2, workMilliseconds: 2500},
		async run(deployment) {
			const [worker] = await allowOnly(deployment, 0);
			await submit(deployment, first);
			const record = await waitForStart(deployment, first);
			await pause(1200);
			worker.drain(6000);
			allowAll(deployment);
			await pause(reportMilliseconds - 500);
			// A renewal without the end is under way while the end is listed.
			const {process: scheduler} = deployment.entries[0]!.daemon;
			scheduler.kill('SIGSTOP');
			await waitFor('listed end', async () => record.listedAt);
			const departure = worker.depart({kind: 'confirmed', endsAfter: 3000});
			await pause(100);
			scheduler.kill('SIGCONT');
			await departure;
			await waitForState(deployment, first, 'completed');
		},
	},
	{
		name: 'the runs of a worker whose departure was not confirmed start elsewhere only once it ended (runs released while they go on)',
		options: {entries: 1, workers: 2, workMilliseconds: 6000},
		async run(deployment) {
			const [worker] = await allowOnly(deployment, 0);
			await submit(deployment, first);
			await waitForStart(deployment, first);
			await pause(1700);
			worker.drain(1000);
			allowAll(deployment);
			await pause(reportMilliseconds);
			await worker.depart({kind: 'confirmation-lost', endsAfter: 3000});
			await waitForState(deployment, first, 'completed');
		},
	},
	{
		name: 'a delayed departure of the incarnation before releases no runs of the present one (departure of an earlier incarnation)',
		options: {entries: 1, workers: 2, workMilliseconds: 4000},
		async run(deployment) {
			const [worker] = await allowOnly(deployment, 0);
			worker.drain(0);
			await pause(reportMilliseconds);
			await worker.depart({kind: 'report-delayed', endsAfter: 0});
			await worker.comeBack();
			await submit(deployment, first);
			await waitForStart(deployment, first);
			allowAll(deployment);
			await pause(reportMilliseconds);
			expect(await worker.deliverLate('departure')).to.equal(true);
			await waitForState(deployment, first, 'completed');
		},
	},
	{
		name: 'a delayed announcement of the incarnation before releases no runs of the present one (announcement of an earlier incarnation)',
		options: {entries: 1, workers: 2, workMilliseconds: 4000},
		async run(deployment) {
			const [worker] = await allowOnly(deployment, 0);
			worker.crash({downMilliseconds: 100});
			await pause(reportMilliseconds);
			await submit(deployment, first);
			await waitForStart(deployment, first);
			allowAll(deployment);
			await pause(reportMilliseconds);
			expect(await worker.deliverLate('announcement')).to.equal(true);
			await waitForState(deployment, first, 'completed');
		},
	},
	{
		name: 'a lease extension of the incarnation before does not acknowledge ends of the present one (done task started again)',
		options: {entries: 1, workers: 1, workMilliseconds: 2000},
		async run(deployment) {
			const [worker] = deployment.workers;
			await submit(deployment, first, 2);
			await waitForState(deployment, first, 'completed');
			await waitFor('acknowledged ends', async () => recordsOf(deployment, first).every(({notedAt}) => notedAt !== undefined) ? true : undefined);
			worker!.delayOrders(['hold'], 'until-told');
			await waitFor('late lease extension', async () => worker!.lateOrders()[0]);
			worker!.answerOrders();
			worker!.crash({downMilliseconds: 100});
			await submit(deployment, second);
			const record = await waitForStart(deployment, second);
			// The answers that would list the end are lost.
			await pause(500);
			worker!.delayOrders(['hold'], 0);
			await waitFor('end', async () => record.endedAt);
			worker!.carryOutLateOrders();
			worker!.answerOrders();
			await waitForState(deployment, second, 'completed');
		},
	},
	{
		name: 'a lease extension of the incarnation before keeps no run of the present one alive beyond its lease (run released while it goes on)',
		options: {entries: 1, workers: 2, workMilliseconds: 14_000},
		async run(deployment) {
			const [worker] = await allowOnly(deployment, 0);
			worker.delayOrders(['hold'], 'until-told');
			await waitFor('late lease extension', async () => worker.lateOrders()[0]);
			worker.answerOrders();
			worker.crash({downMilliseconds: 100});
			await submit(deployment, first);
			const record = await waitForStart(deployment, first);
			allowAll(deployment);
			await pause(reportMilliseconds);
			worker.delayOrders(['start', 'stop', 'hold'], 'never');
			await pause(record.startedAt + 6000 - Date.now());
			worker.carryOutLateOrders();
			await waitForStart(deployment, first, 2);
			await pause(reportMilliseconds);
			worker.answerOrders();
			await waitForState(deployment, first, 'completed');
		},
	},
	{
		name: 'a stop that the next incarnation confirms leaves the crash of the earlier one counted (endless crashes)',
		options: {
			entries: 1, workers: 3, workMilliseconds: 300, crashesOn: task => task.startsWith(first), answersBeforeCrash: false, restart: {downMilliseconds: 100, silentMilliseconds: 3000},
		},
		async run(deployment) {
			const countCrashes = () => deployment.workers.reduce((total, worker) => total + worker.crashes(), 0);
			await submit(deployment, first);
			await Promise.race([
				waitForState(deployment, first, 'failed', {timeout: giveUpMilliseconds}),
				waitFor('a further crash', async () => countCrashes() > 3 ? true : undefined, giveUpMilliseconds),
			]);
			expect(countCrashes()).to.equal(3);
		},
	},
	{
		name: 'a job whose starts are not answered ends as completed although each worker then crashes for another reason (sound job shown as failed)',
		options: {entries: 1, workers: 2, workMilliseconds: 500},
		async run(deployment) {
			for (const worker of deployment.workers) {
				worker.delayOrders(['start'], 'until-told');
			}

			await submit(deployment, first);
			for (let run = 1; run <= 3; run++) {
				const isLate = (worker: PlatformWorker) => worker.lateOrders().some(({order}) => order['run_id'] === run);
				const worker = await waitFor(`late start ${run}`, async () => deployment.workers.find(each => isLate(each)), giveUpMilliseconds);
				await pause(crashPauseMilliseconds);
				worker.crash({downMilliseconds: 100});
			}

			for (const worker of deployment.workers) {
				worker.answerOrders();
			}

			await waitForState(deployment, first, 'completed', {timeout: giveUpMilliseconds});
		},
	},
	{
		name: 'a start that a later incarnation carries out after the one before confirmed its stop is no second run (stop confirmed by one incarnation only)',
		options: {entries: 1, workers: 2, workMilliseconds: 4000},
		async run(deployment) {
			const worker = await leaveStartUnanswered(deployment);
			worker.crash({downMilliseconds: 100});
			await Promise.race([waitForStart(deployment, first), pause(4000)]);
			worker.crash({downMilliseconds: 100});
			while (!worker.isUp()) {
				await pause(1);
			}

			worker.carryOutLateOrders();
			await waitForState(deployment, first, 'completed');
		},
	},
	{
		name: 'an unanswered acknowledgement of an earlier process of the agent does not acknowledge ends of the next incarnation (agent restarted together with its worker)',
		options: {entries: 1, workers: 1, workMilliseconds},
		async run(deployment) {
			const [worker] = deployment.workers;
			await submit(deployment, first);
			const ended = await waitForStart(deployment, first);
			while (ended.listedAt === undefined) {
				await pause(1);
			}

			worker!.delayOrders(['hold'], 'until-told');
			await waitFor('late acknowledgement', async () => worker!.lateOrders().some(({order}) => order.last_seen === 1) ? true : undefined);
			const sentAt = Date.now();
			worker!.answerOrders();
			worker!.crash({downMilliseconds: 100});
			await deployment.restartAgent(0);
			await submit(deployment, second);
			// The acknowledgement is carried out after the end, unless the task starts too late for that.
			const record = await Promise.race([waitForStart(deployment, second), pause(sentAt + latestCallMilliseconds - workMilliseconds - Date.now())]);
			if (record !== undefined) {
				// The answers that would list the end are lost.
				await pause(500);
				worker!.delayOrders(['hold'], 0);
				await waitFor('end', async () => record.endedAt);
			}

			worker!.carryOutLateOrders();
			worker!.answerOrders();
			await waitForState(deployment, second, 'completed');
		},
	},
	{
		name: 'a start of a worker that left is no second run under the next scheduler (start carried out after the worker came back)',
		options: {entries: 2, workers: 2, workMilliseconds: 6000},
		async run(deployment) {
			const worker = await leaveStartUnanswered(deployment);
			await pause(2 * reportMilliseconds);
			await worker.depart({kind: 'confirmed', endsAfter: 3000});
			await pause(reportMilliseconds);
			const {entry} = deployment.store.read('cluster/leader') as Readonly<{entry: string}>;
			const index = deployment.entries.findIndex(({name}) => name === entry);
			deployment.entries[index]!.daemon.process.kill('SIGKILL');
			await Promise.race([waitForStart(deployment, first), pause(8000)]);
			await worker.comeBack();
			worker.carryOutLateOrders();
			await waitForState(deployment, first, 'completed', {entry: 1 - index});
		},
	},
];

describe('incarnations of a worker', function () {
	this.timeout(90_000);
	for (const {name, options, run} of cases) {
		it(name, async () => {
			const deployment = await startDeployment(options);
			try {
				await run(deployment);
				expect(findRepeatedRuns(deployment.workers.flatMap(worker => worker.records()))).to.deep.equal([]);
			} finally {
				await deployment.stop();
			}
		});
	}
});
