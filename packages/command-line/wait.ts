import type {Milliseconds} from '#core';
import {waitIntervalMilliseconds} from './constants.js';
import {
	listEntries, measureProgress, readFleetView, type Progress,
} from './fleet.js';
import type {CommandContext} from './types.js';

/** Waits until a revision is in force on every registered entry and its agents, and prints each change of the progress. */
export async function waitUntilInForce(revision: number, timeout: Milliseconds, context: CommandContext): Promise<Progress> {
	const {clock} = context;
	const deadline = clock.monotonic() + timeout;
	let lastPrinted = '';
	for (;;) {
		const entries = await listEntries(context.useStore());
		const views = await Promise.all(entries.map(async ({callerAddress}) => readFleetView(`http://${callerAddress}`)));
		const progress = measureProgress(revision, entries.map(({entry}) => entry), views.filter(view => view !== undefined));
		const text = describeProgress(revision, progress);
		if (!context.isJson && text !== lastPrinted) {
			lastPrinted = text;
			context.print(text);
		}

		if (progress.missing.length === 0 || clock.monotonic() >= deadline) {
			return progress;
		}

		await new Promise<void>(resolve => {
			clock.schedule(waitIntervalMilliseconds, resolve);
		});
	}
}

function describeProgress(revision: number, {entries, entriesInForce, agents, agentsInForce}: Progress): string {
	return `revision ${revision} is in force on ${entriesInForce} of ${entries} entries and ${agentsInForce} of ${agents} agents`;
}
