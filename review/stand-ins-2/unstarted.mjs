/** Checks the part of rule LOST that says how long a work item may wait although there is room for it. Samples the workers; a stretch ends with each sample at which one of the conditions does not hold. */
import {sleep} from './harness.mjs';

const sampleMilliseconds = 50;
const idleLimitMilliseconds = 3000;
/** A task that lasts counts from this time after its last run. */
const lastingDelayMilliseconds = 6000;

/** How many such tasks the worker has room for. */
function countRoom(worker, needs) {
	const free = worker.freeCapacity();
	return Math.min(...Object.entries(free).map(([amount, value]) => needs[amount] === 0 ? Infinity : Math.floor(value / needs[amount])));
}

/** Whether the workers that are up have room for a task twice over. */
function hasRoomTwice(workers, needs) {
	return workers.filter(worker => worker.isUp()).reduce((sum, worker) => sum + countRoom(worker, needs), 0) >= 2;
}

function listTasks(identifier, index, {count}) {
	return Array.from({length: count}, (_, number) => `${identifier}.0.${index}.${number}`);
}

/** The tasks of a job that are not done; the steps of these cases wait for no others. */
function listDueTasks({identifier, steps}, records) {
	const isDone = task => records.some(record => record.task === task && record.how === 'done');
	return steps.flatMap((step, index) => listTasks(identifier, index, step).filter(task => !isDone(task)).map(task => ({task, step})));
}

const isRunning = (task, records) => records.some(record => record.task === task && record.endedAt === undefined);

/** Notes for how long a condition has held without a break, and keeps the longest stretch over the limit. */
function createStretches() {
	const since = new Map();
	const found = new Map();
	return {
		note(name, holds, fields) {
			if (!holds) {
				since.delete(name);
				return;
			}

			const begin = since.get(name) ?? Date.now();
			since.set(name, begin);
			if (Date.now() - begin >= idleLimitMilliseconds) {
				const idleMilliseconds = Math.max(Date.now() - begin, found.get(name)?.idleMilliseconds ?? 0);
				found.set(name, {...fields, idleMilliseconds});
			}
		},
		list: () => [...found.values()],
	};
}

function countAccelerators(workers) {
	const up = workers.filter(worker => worker.isUp());
	return {
		used: up.reduce((sum, worker) => sum + worker.usedAccelerators(), 0),
		total: up.reduce((sum, {capacity}) => sum + capacity.accelerators, 0),
	};
}

/** From `finish_s` after the end of the traffic: for 3 s, a job has nothing running while a task's turn has come, there is room for it twice over, and under half of the service's capacity is in use. */
export async function findUnstartedJobs({listAccepted, records, workers}, until) {
	const stretches = createStretches();
	while (Date.now() < until) {
		const known = records();
		const {used, total} = countAccelerators(workers);
		for (const job of listAccepted()) {
			const due = listDueTasks(job, known);
			const hasRuns = due.some(({task}) => isRunning(task, known));
			const fitting = hasRuns || used * 2 >= total ? [] : due.filter(({step}) => hasRoomTwice(workers, step.needs));
			stretches.note(job.identifier, fitting.length > 0, {job: job.identifier, task: fitting[0]?.task, accelerators: {used, total}});
		}

		await sleep(sampleMilliseconds);
	}

	return stretches.list();
}

/** At any time in calm: a task that lasts does not run for 3 s, from 6 s after its last run, while there is room for it twice over. */
export async function findStoppedTasks({listAccepted, records, workers}, from, until) {
	const stretches = createStretches();
	await sleep(from - Date.now());
	while (Date.now() < until) {
		const known = records();
		for (const job of listAccepted()) {
			for (const {task, step} of listDueTasks(job, known)) {
				const endedAt = Math.max(-Infinity, ...known.filter(record => record.task === task).map(record => record.endedAt ?? Infinity));
				const isDue = !isRunning(task, known) && Date.now() >= endedAt + lastingDelayMilliseconds && hasRoomTwice(workers, step.needs);
				stretches.note(task, isDue, {task, accelerators: countAccelerators(workers)});
			}
		}

		await sleep(sampleMilliseconds);
	}

	return stretches.list();
}
