/** Runs every benchmark and prints its report. Decisions run in seeded virtual time, so their figures repeat exactly, except durations. */
import process from 'node:process';
import {benchPlacement} from './placement/index.js';
import {benchRouting} from './routing/index.js';
import {benchLosses, benchScheduling} from './scheduling/index.js';

const sections = [
	{title: 'Routing and queues of requests', run: benchRouting},
	{title: 'Scheduling of jobs of steps', run: benchScheduling},
	{title: 'Lost work, each decision against the earlier one', run: benchLosses},
	{title: 'Placement of gangs and guaranteed shapes', run: benchPlacement},
] as const;

for (const {title, run} of sections) {
	process.stdout.write(`# ${title}\n\n`);
	for (const line of await run()) {
		process.stdout.write(`${line}\n`);
	}

	process.stdout.write('\n');
}
