import {expect} from 'chai';
import type {WorkerSnapshot} from '#jobs';
import {grantValidityMilliseconds} from '#scheduling';
import {callMethod, createFakePeer, startSchedulingEntry} from '#test/support/scheduling-entry';
import {createReadyDriver, snapshotOf} from '#test/support/scheduling';

type Case = Readonly<{
	name: string;
	/** Renewals of one agent, in order. */
	renewals: ReadonlyArray<Readonly<{epoch: number; snapshot?: WorkerSnapshot}>>;
	/** Validity of the grant that answers the last of them. */
	validity: number;
}>;

const cases: readonly Case[] = [
	{
		name: 'an agent that reports its worker receives a grant (running work that lapses)',
		renewals: [{epoch: 1, snapshot: snapshotOf('a')}],
		validity: grantValidityMilliseconds,
	},
	{
		name: 'an agent that has not heard of its worker receives none (lease extended after the task has started elsewhere)',
		renewals: [{epoch: 1}],
		validity: 0,
	},
	{
		name: 'an agent that started again receives none for the worker that its earlier process reported (lease extended after the task has started elsewhere)',
		renewals: [{epoch: 1, snapshot: snapshotOf('a')}, {epoch: 1}],
		validity: 0,
	},
	{
		name: 'a report from an earlier scheduler\'s term obtains none (lease extended after the task has started elsewhere)',
		renewals: [{epoch: 0, snapshot: snapshotOf('a')}],
		validity: 0,
	},
];

describe('grants to agents', () => {
	for (const {name, renewals, validity} of cases) {
		it(name, async () => {
			const driver = createReadyDriver([]);
			const context = startSchedulingEntry({
				send(message) {
					driver.send(message);
				},
				read: driver.state,
			});
			const peer = createFakePeer('h:10');
			const results: unknown[] = [];
			for (const renewal of renewals) {
				// Each renewal depends on what the one before has changed.

				results.push(await callMethod('worker.renew', {agent: 'a', ...renewal}, context, peer));
			}

			expect(results.at(-1)).to.include({kind: 'granted', validityMilliseconds: validity});
		});
	}
});
