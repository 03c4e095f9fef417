/** Callers of a soak: they submit jobs over persistent connections, poll job states, cancel some jobs, and record every response. */
import {Agent} from 'undici';
import {createRandomSource, pickInteger, type RandomSource} from '#core';
import {sleep, systemClock} from '#kernel';
import {callFront, describeStep, type CallMethod} from '#test/support/platform/caller';
import type {CallRecord, JobDescription} from './types.js';

const minimumPauseMilliseconds = 200;
const pauseRangeMilliseconds = 600;
const pollMilliseconds = 400;
const maximumSubmissionsPerJob = 4;
const cancelShare = 0.15;
/** Part of the submissions without an outcome that are given up and cancelled, and of those the part of which a copy arrives after it. */
const withdrawnShare = 0.3;
const lateCopyShare = 0.5;

export type Callers = Readonly<{
	jobs: readonly JobDescription[];
	calls: readonly CallRecord[];
	/** Whether no submission is in flight and every accepted job has ended or was cancelled according to its last response. */
	isSettled(): boolean;
	/** Stops submitting new jobs; states are polled until `stop`. */
	stopSubmitting(): void;
	stop(): Promise<void>;
	/** Returns the status of a GET, or 0 without a response. */
	queryStatus(entry: number, path: string): Promise<number>;
}>;

type CallResponse = Readonly<{status: number; state?: string}>;

const methodByAction = {submit: 'POST', show: 'GET', cancel: 'DELETE'} as const;

export function startCallers(fronts: readonly string[], seed: number): Callers {
	const random = createRandomSource(seed + 1);
	/** Draws that later versions added leave those of earlier ones as they were. */
	const laterRandom = createRandomSource(seed + 2);
	const dispatcher = new Agent({connections: 4, keepAliveTimeout: 60_000});
	const jobs: JobDescription[] = [];
	const calls: CallRecord[] = [];
	/** Paths of accepted jobs that have not ended, by job. */
	const unfinished = new Map<string, string>();
	let inFlight = 0;
	let hasStoppedSubmitting = false;
	let isStopped = false;

	const send = async (entry: number, method: CallMethod, path: string, body?: unknown): Promise<CallResponse> => {
		const response = await callFront(fronts[entry] ?? '', method, path, {body, dispatcher});
		const {state} = (response?.body ?? {}) as Readonly<{state?: string}>;
		return {status: response?.status ?? 0, ...(state === undefined ? {} : {state})};
	};

	const call = async (action: CallRecord['action'], job: string, path: string, body?: unknown): Promise<CallResponse> => {
		const entry = pickInteger(random, fronts.length);
		const at = Date.now();
		const response = await send(entry, methodByAction[action], path, body);
		calls.push({
			at, answeredAt: Date.now(), entry, action, job, ...response,
		});
		return response;
	};

	const maybeCancel = async (job: string, path: string) => {
		if (random() < cancelShare) {
			await sleep(systemClock, random() * 1500);
			await call('cancel', job, path);
		}
	};

	/** Cancels a job whose submission has no outcome, through any entry; the submission may still be under way. */
	const withdraw = async (job: string, path: string, body: unknown) => {
		const {status} = await call('cancel', job, path);
		if (status === 410 && laterRandom() < lateCopyShare) {
			await sleep(systemClock, laterRandom() * 1500);
			await call('submit', job, path, body);
		}
	};

	const submit = async (number: number) => {
		const job = `${seed.toString(16)}f${number.toString(16)}`.padStart(16, '0');
		const path = `/${random() < 0.4 ? 'urgent' : 'batch'}/${job}`;
		const steps = drawSteps(random);
		jobs.push({job, steps});
		const body = {spec: 'text', steps: steps.map(({count, after}) => describeStep(count, after))};
		for (let attempt = 0; attempt < maximumSubmissionsPerJob; attempt++) {
			const {status} = await call('submit', job, path, body);
			if (status === 200) {
				unfinished.set(job, path);
				await maybeCancel(job, path);
				return;
			}

			if (status === 401 || status === 404 || status === 410) {
				return;
			}

			if ((status === 0 || status === 504) && laterRandom() < withdrawnShare) {
				await withdraw(job, path, body);
				return;
			}

			await sleep(systemClock, 300 + (random() * 500));
		}
	};

	const track = async (submission: Promise<void>) => {
		inFlight++;
		await submission;
		inFlight--;
	};

	const submitAll = async () => {
		for (let number = 1; !hasStoppedSubmitting; number++) {
			void track(submit(number));
			await sleep(systemClock, minimumPauseMilliseconds + (random() * pauseRangeMilliseconds));
		}
	};

	const poll = async () => {
		while (!isStopped) {
			await Promise.all([...unfinished].map(async ([job, path]) => {
				const {state, status} = await call('show', job, path);
				if (state === 'completed' || state === 'cancelled' || state === 'failed' || status === 410) {
					unfinished.delete(job);
				}
			}));
			await sleep(systemClock, pollMilliseconds);
		}
	};

	void submitAll();
	const polling = poll();
	return {
		jobs,
		calls,
		isSettled: () => unfinished.size === 0 && inFlight === 0,
		stopSubmitting() {
			hasStoppedSubmitting = true;
		},
		async stop() {
			isStopped = true;
			await polling;
			await dispatcher.destroy();
		},
		async queryStatus(entry, path) {
			const {status} = await send(entry, 'GET', path);
			return status;
		},
	};
}

function drawSteps(random: RandomSource): JobDescription['steps'] {
	const step = (after: readonly number[]) => ({count: 1 + pickInteger(random, 4), after});
	return random() < 0.3 ? [step([]), step([0])] : [step([])];
}
