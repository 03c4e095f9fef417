/** The worker's list of ends is passed on as cut once it may leave ends out (task that is done runs again). */
import {expect} from 'chai';
import type {WorkerId} from '#core';
import {createCounters, silentLog} from '#kernel';
import type {HttpClient} from '#transport';
import {createWorkerPort} from '#platform/agent/worker.js';

type Case = Readonly<{name: string; rows: number; invalidRows?: number; kind: 'whole' | 'cut'; ends: number}>;

const cases: readonly Case[] = [
	{
		name: 'no ends', rows: 0, kind: 'whole', ends: 0,
	},
	{
		name: 'fewer ends than the worker lists at a time', rows: 499, kind: 'whole', ends: 499,
	},
	{
		name: 'as many ends as the worker lists at a time', rows: 500, kind: 'cut', ends: 500,
	},
	{
		name: 'as many, of which one cannot be read', rows: 499, invalidRows: 1, kind: 'cut', ends: 499,
	},
];

describe('lists of the worker', () => {
	for (const {
		name, rows, invalidRows = 0, kind, ends,
	} of cases) {
		it(`a list with ${name} is ${kind}`, async () => {
			const finished = [
				...Array.from({length: invalidRows}, () => ['odd']),
				...Array.from({length: rows}, (_, index) => [index + 1, `00000000000000a1.0.0.${index}`, 1, 'done', '']),
			];
			const client: Pick<HttpClient, 'send'> = {
				send: async () => ({
					kind: 'answered', status: 200, headers: {}, body: {
						clock_ms: 5, born: 1, running: [], finished,
					},
				}),
			};
			const port = createWorkerPort(client as HttpClient, silentLog.withPrefix('worker'), createCounters());
			const lists = await port.extendLeases({
				worker: 'w' as WorkerId, incarnation: '1', epoch: 1, deadline: undefined, leaseUntil: 0, notedEnd: 0, wait: 0, isRecurring: true,
			});
			expect(lists.kind === 'answered' && {kind: lists.ended.kind, ends: lists.ended.ends.length}).to.deep.equal({kind, ends});
		});
	}
});
