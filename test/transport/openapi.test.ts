import {expect} from 'chai';
import * as valibot from 'valibot';
import type {HttpRoutePlugin} from '#kernel';
import {describeRoutes} from '#transport';

const routes: ReadonlyArray<HttpRoutePlugin<undefined>> = [
	{
		kind: 'http-route', name: 'read-work', method: 'GET', path: '/work/:workId', handle: async () => ({kind: 'json', status: 200, body: {}}),
	},
	{
		kind: 'http-route', name: 'change-work', summary: 'Changes it', method: 'PUT', path: '/work/:workId',
		bodySchema: valibot.object({count: valibot.pipe(valibot.string(), valibot.toLowerCase())}),
		handle: async () => ({kind: 'json', status: 200, body: {}}),
	},
];

type Case = Readonly<{name: string; method: 'get' | 'put'; expected: unknown}>;

const parameters = [{
	name: 'workId', in: 'path', required: true, schema: {type: 'string'},
}];

const cases: readonly Case[] = [
	{name: 'methods of one path are grouped, with their path parameters', method: 'get', expected: {operationId: 'read-work', parameters}},
	{name: 'a request body is described by its validation schema, without transformations', method: 'put', expected: {operationId: 'change-work', summary: 'Changes it', parameters}},
];

describe('OpenAPI document', () => {
	const operations = describeRoutes('test', routes).paths['/work/{workId}'];

	for (const {name, method, expected} of cases) {
		it(name, () => {
			expect(operations?.[method]).to.deep.include(expected);
		});
	}

	it('a required field of the body is marked as required', () => {
		expect(JSON.stringify(operations?.['put'])).to.contain('"required":["count"]');
	});
});
