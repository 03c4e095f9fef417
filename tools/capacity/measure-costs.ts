import {setTimeout as delay} from 'node:timers/promises';
import type {Daemon} from '#test/support/processes';
import {readProcessorSeconds, readResidentMegabytes} from './process-cost.js';
import type {Sample} from './types.js';

const settleMilliseconds = 5000;
const intervalSeconds = 15;

/** One daemon under measurement. */
export type Subject = Readonly<{
	size: number;
	daemon: Daemon;
	/** Total bytes of messages in both directions. */
	countBytes(): number;
}>;

/** Measures all subjects in the same interval, after a settling time. */
export async function measureCosts(subjects: readonly Subject[]): Promise<readonly Sample[]> {
	await delay(settleMilliseconds);
	const before = await Promise.all(subjects.map(readTotals));
	await delay(intervalSeconds * 1000);
	return Promise.all(subjects.map(async (subject, index): Promise<Sample> => {
		const after = await readTotals(subject);
		return {
			size: subject.size,
			cost: {
				processor: (after.seconds - (before[index]?.seconds ?? 0)) / intervalSeconds,
				residentMegabytes: await readResidentMegabytes(subject.daemon.process.pid ?? 0),
				bytesPerSecond: (after.bytes - (before[index]?.bytes ?? 0)) / intervalSeconds,
			},
		};
	}));
}

async function readTotals({daemon, countBytes}: Subject): Promise<Readonly<{seconds: number; bytes: number}>> {
	return {seconds: await readProcessorSeconds(daemon.process.pid ?? 0), bytes: countBytes()};
}
