import {
	completeJob, deeplyNested, expectAllRunning, largestWholeNumber, repetitions, tooLargeNumber,
} from '#test/support/platform/odd-input';
import {startDeployment, type Deployment} from '#test/support/platform/deployment';

/** An announcement of the worker beside the first agent, with fields replaced by other JSON text. */
function describeAnnouncement(deployment: Deployment, change: Readonly<Record<string, string>> = {}): string {
	const fields = {
		service: '"svc"',
		address: JSON.stringify(deployment.workers[0]?.address),
		zone: '"z"',
		version: '"v1"',
		slots: '8',
		state: '"ready"',
		cold_remaining_ms: '0',
		capacity: '{"cpu":128000,"mem_mb":262144,"gpus":8}',
		labels: '["a","r-0"]',
		clock_ms: '1',
		seq_no: '1',
		born: String(deployment.workers[0]?.startedAt()),
		...change,
	};
	return `{${Object.entries(fields).map(([name, text]) => `"${name}":${text}`).join(',')}}`;
}

type Announcement = Readonly<{name: string; identifier?: string; change: Readonly<Record<string, string>>}>;

/** Odd announcements; each is sent under the worker's identifier if none is given. */
const announcements: readonly Announcement[] = [
	{name: 'deep nesting in a field that is used', change: {labels: deeplyNested}},
	{name: 'deep nesting in a field that is not', change: {colour: deeplyNested}},
	{name: 'a start that is too large a number', change: {born: tooLargeNumber}},
	{name: 'a start far in the future', change: {born: largestWholeNumber}},
	{name: 'a number of announcements that is too large', change: {seq_no: tooLargeNumber}},
	{name: 'a number of announcements far ahead', change: {seq_no: largestWholeNumber}},
	{name: 'a capacity that is too large a number', change: {capacity: `{"cpu":${tooLargeNumber},"mem_mb":1,"gpus":8}`}},
	{name: 'a negative capacity', change: {capacity: '{"cpu":-1,"mem_mb":-1,"gpus":-8}'}},
	{name: 'a clock that is too large a number', change: {clock_ms: tooLargeNumber}},
	{name: 'a port out of range', identifier: 'i-other', change: {address: '"127.0.0.1:70000"', born: String(Date.now() + 60_000)}},
	{name: 'the address of another worker', identifier: 'i-other', change: {address: '"10.9.9.9:8080"', born: String(Date.now() + 60_000)}},
	{name: 'an unknown state', change: {state: '"asleep"'}},
	{name: 'no service', change: {service: 'null'}},
];

describe('odd announcements of workers', function () {
	this.timeout(60_000);
	let deployment: Deployment;
	let jobs = 0;
	const nextKey = () => (++jobs).toString(16).padStart(16, '0');

	before(async () => {
		deployment = await startDeployment({entries: 1, workers: 1, workMilliseconds: 100});
	});

	after(async () => {
		await deployment.stop();
	});

	for (const {name, identifier = 'i-0', change} of announcements) {
		it(`an announcement with ${name} leaves the worker in use (agent ended, or worker lost to another writer)`, async () => {
			for (let count = 0; count < repetitions; count++) {
				await deployment.announce(0, identifier, describeAnnouncement(deployment, change));
			}

			await completeJob(deployment, nextKey());
			expectAllRunning(deployment);
		});
	}
});
