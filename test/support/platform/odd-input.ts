/** Input that another writer or a careless caller sends, and what has to work beside it. */
import {expect} from 'chai';
import {waitFor} from '../processes.js';
import type {Deployment} from './deployment.js';

const depth = 50_000;
export const deeplyNested = '['.repeat(depth) + ']'.repeat(depth);
/** No number of JavaScript holds it. */
export const tooLargeNumber = '1e400';
export const largestWholeNumber = String(Number.MAX_SAFE_INTEGER);
/** More errors than a process tolerates in its period would end it. */
export const repetitions = 25;

/** A job of 0.1 s completes in this time unless its worker is not used. */
const completionMilliseconds = 5000;

/** Completes a job under the key, which needs the worker, its agent and the scheduler. */
export async function completeJob(deployment: Deployment, key: string): Promise<void> {
	const step = {
		count: 1, cpu: 1000, mem_mb: 100, gpus: 1, estimate_ms: 100,
	};
	await waitFor('acceptance', async () => {
		const answer = await deployment.call(0, 'POST', `/batch/${key}`, {spec: '', steps: [step]});
		return answer?.status === 200 ? true : undefined;
	});
	await waitFor('completion', async () => {
		const answer = await deployment.call(0, 'GET', `/batch/${key}`);
		return (answer?.body as Readonly<{state?: string}> | undefined)?.state === 'completed' ? true : undefined;
	}, completionMilliseconds);
}

export function expectAllRunning({entries, agents}: Deployment): void {
	const daemons = [...entries.map(({daemon}) => daemon), ...agents];
	expect(daemons.map(({process}) => process.exitCode)).to.deep.equal(daemons.map(() => null));
}
