import {expect} from 'chai';
import {Client} from 'undici';
import {
	deeplyNested, expectAllRunning, repetitions, tooLargeNumber,
} from '#test/support/platform/odd-input';
import {apiKey, queueHost} from '#test/support/platform/caller';
import {startDeployment, type Deployment} from '#test/support/platform/deployment';

const wideSteps = Array.from({length: 100}, () => '{"count":10000}').join(',');

/** Targets and bodies that callers send; each is answered, and none ends the process. */
const requests: ReadonlyArray<Readonly<{name: string; path: string; body: string; status: number}>> = [
	{
		name: 'a target without a path', path: '//', body: '{}', status: 400,
	},
	{
		name: 'a target that is no path', path: '//[', body: '{}', status: 400,
	},
	{
		name: 'a body with deep nesting', path: '/batch/00000000000000c1', body: `{"steps":${deeplyNested}}`, status: 400,
	},
	{
		name: 'too large a number', path: '/batch/00000000000000c2', body: `{"steps":[{"count":1,"cpu":${tooLargeNumber}}]}`, status: 400,
	},
	{
		name: 'more occurrences than can be kept', path: '/batch/00000000000000c3', body: '{"steps":[{"count":1}],"repeat_count":5000}', status: 400,
	},
	{
		name: 'a label that the store cannot keep', path: '/batch/00000000000000c5', body: `{"steps":[{"count":1,"requirements":"${'a'.repeat(300_000)}"}]}`, status: 400,
	},
	{
		name: 'more tasks than a scheduler can hold', path: '/batch/00000000000000c4', body: `{"steps":[${wideSteps}],"repeat_count":1000}`, status: 400,
	},
];

const answerMilliseconds = 3000;

describe('odd requests of callers', function () {
	this.timeout(60_000);
	let deployment: Deployment;

	before(async () => {
		deployment = await startDeployment({entries: 1, workers: 0, workMilliseconds: 100});
	});

	after(async () => {
		await deployment.stop();
	});

	for (const {name, path, body, status} of requests) {
		it(`a request with ${name} is refused (no answer, or process ended)`, async () => {
			const client = new Client(`http://${deployment.entries[0]?.front ?? ''}`);
			for (let count = 0; count < repetitions; count++) {
				const response = await client.request({
					path, method: 'POST', body, headers: {host: queueHost, 'api-key': apiKey, 'content-type': 'application/json'}, headersTimeout: answerMilliseconds,
				});
				await response.body.dump();
				expect(response.statusCode).to.equal(status);
			}

			await client.close();
			expectAllRunning(deployment);
		});
	}
});
