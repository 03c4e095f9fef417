import {expect} from 'chai';
import type {RegionName, ZoneName} from '#core';
import {orderForwardTargets, reserveLinkBytes, type ForwardTarget} from '../../packages/entry/requests/forwarding.js';

const local = {zone: 'north-a' as ZoneName, region: 'north' as RegionName};

function target(entry: string, zone: string, workers?: number): ForwardTarget {
	const fields: unknown = {
		entry, zone, region: zone.split('-')[0], workers,
	};
	return fields as ForwardTarget;
}

type OrderCase = Readonly<{name: string; targets: readonly ForwardTarget[]; expected: readonly string[]}>;

const orderCases: readonly OrderCase[] = [
	{name: 'an entry of the same region is preferred to one of another region', targets: [target('far', 'south-a'), target('near', 'north-b')], expected: ['near', 'far']},
	{name: 'an entry of the same zone is left out, as it has the same workers', targets: [target('same', 'north-a')], expected: []},
	{name: 'an entry of a zone without workers is left out', targets: [target('empty', 'north-b', 0), target('far', 'south-a', 3)], expected: ['far']},
];

describe('order of forwarding targets', () => {
	for (const {name, targets, expected} of orderCases) {
		it(name, () => {
			expect(orderForwardTargets(targets, local, () => 0.5).map(({entry}) => entry as string)).to.deep.equal(expected);
		});
	}
});

type LinkCase = Readonly<{name: string; messages: ReadonlyArray<Readonly<{at: number; bytes: number}>>; allowed: readonly boolean[]}>;

const linkCases: readonly LinkCase[] = [
	{name: 'bytes beyond the limit are refused', messages: [{at: 0, bytes: 600}, {at: 10, bytes: 600}], allowed: [true, false]},
	{name: 'a refused message is not counted', messages: [{at: 0, bytes: 1200}, {at: 10, bytes: 1000}], allowed: [false, true]},
	{name: 'the limit applies anew in the next window', messages: [{at: 0, bytes: 1000}, {at: 999, bytes: 1}, {at: 1000, bytes: 1000}], allowed: [true, false, true]},
];

describe('limit of the link between regions', () => {
	for (const {name, messages, allowed} of linkCases) {
		it(name, () => {
			let usage = {windowStartedAt: 0, bytes: 0};
			const decisions = messages.map(({at, bytes}) => {
				const decision = reserveLinkBytes(usage, {bytes, bytesPerSecond: 1000, monotonic: at});
				usage = {windowStartedAt: decision.usage.windowStartedAt ?? 0, bytes: decision.usage.bytes};
				return decision.isAllowed;
			});
			expect(decisions).to.deep.equal(allowed);
		});
	}
});
