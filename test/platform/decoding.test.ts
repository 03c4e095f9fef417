import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import type {WorkerId} from '#core';
import {decodeAnnouncement} from '#platform/agent/announcements.js';
import {decodeJob} from '#platform/job.js';
import {decodeManifest} from '#platform/manifest.js';

type Decoded = Readonly<{kind: string; findings?: ReadonlyArray<Readonly<{place: string}>>}>;

type Case = Readonly<{name: string; kind: 'valid' | 'invalid'; place?: string; decode(): Decoded}>;

const route = {
	name: 'r', host: 'h', prefix: '/p/', kind: 'non_idempotent', timeout_ms: 3000, target_duration_ms: 600, priority: 0, service: 's', max_attempts: 4, stretch: 1.5, public: false,
};
const announcement = {
	service: 's',
	address: 'h:1',
	zone: 'z',
	version: 'v1',
	slots: 8,
	state: 'ready',
	cold_remaining_ms: 0,
	capacity: {cpu: 1, mem_mb: 1, gpus: 0},
	labels: ['a', 'r-1'],
	clock_ms: 5,
	seq_no: 4,
	born: 12,
};
const worker = 'i-1' as WorkerId;

const cases: readonly Case[] = [
	{name: 'a job with omitted fields', decode: () => decodeJob({steps: [{count: 4, cpu: 500}]}), kind: 'valid'},
	{
		name: 'a job without steps', decode: () => decodeJob({spec: 'x'}), kind: 'invalid', place: 'steps',
	},
	{
		name: 'a job with a step that depends on itself', decode: () => decodeJob({steps: [{count: 1, after: [0]}]}), kind: 'invalid', place: 'steps[0].after',
	},
	{
		name: 'a job with a mistyped field', decode: () => decodeJob({steps: [{count: '4'}]}), kind: 'invalid', place: 'steps[0].count',
	},
	{
		name: 'a job that is not an object', decode: () => decodeJob(undefined), kind: 'invalid', place: 'body',
	},
	{name: 'a job with an image that is no text (job refused for a field that only serves a preference)', decode: () => decodeJob({steps: [{count: 1, image: 7}]}), kind: 'valid'},
	{name: 'a job with unknown fields', decode: () => decodeJob({steps: [{count: 1, colour: 'red'}], more: 1}), kind: 'valid'},
	{name: 'a manifest with unknown fields', decode: () => decodeManifest({version: 1, routes: [{...route, colour: 'red'}], tenants: []}), kind: 'valid'},
	{
		name: 'a manifest without a version', decode: () => decodeManifest({routes: []}), kind: 'invalid', place: 'version',
	},
	{
		name: 'a manifest with a mistyped route', decode: () => decodeManifest({version: 1, routes: [{...route, host: 5}]}), kind: 'invalid', place: 'routes[0].host',
	},
	{
		name: 'a manifest without a readable value', decode: () => decodeManifest(undefined), kind: 'invalid', place: 'op/config',
	},
	{name: 'an announcement', decode: () => decodeAnnouncement(worker, JSON.stringify(announcement)), kind: 'valid'},
	{name: 'an announcement with an odd cold time', decode: () => decodeAnnouncement(worker, JSON.stringify({...announcement, cold_remaining_ms: 'long'})), kind: 'valid'},
	{
		name: 'an announcement in an unknown state', decode: () => decodeAnnouncement(worker, JSON.stringify({...announcement, state: 'asleep'})), kind: 'invalid', place: 'state',
	},
	{
		name: 'an announcement without a capacity', decode: () => decodeAnnouncement(worker, JSON.stringify({...announcement, capacity: undefined})), kind: 'invalid', place: 'capacity',
	},
	{
		name: 'an announcement that is not JSON', decode: () => decodeAnnouncement(worker, '{'), kind: 'invalid', place: 'body',
	},
];

describe('decoders of the platform\'s messages', () => {
	for (const {name, decode, kind, place} of cases) {
		it(`${name} is ${kind}`, () => {
			const decoded = decode();
			expect(decoded.kind).to.equal(kind);
			if (place !== undefined) {
				expect(decoded.findings?.map(finding => finding.place)).to.include(place);
			}
		});
	}

	it('no input makes a decoder throw (process stopped by a malicious message)', () => {
		fastCheck.assert(fastCheck.property(fastCheck.jsonValue(), value => {
			for (const decode of [decodeJob, decodeManifest]) {
				expect(decode(value).kind).to.be.oneOf(['valid', 'invalid']);
			}

			expect(decodeAnnouncement(worker, JSON.stringify(value)).kind).to.be.oneOf(['valid', 'invalid']);
		}), {numRuns: 500, seed: 8});
	});

	it('the rack is the second label, and the start time identifies the incarnation (restarted worker taken for its earlier incarnation)', () => {
		const decoded = decodeAnnouncement(worker, JSON.stringify(announcement));
		expect(decoded.kind === 'valid' ? decoded.value : undefined).to.include({rack: 'r-1', incarnation: '12', startedAt: 12});
	});
});
