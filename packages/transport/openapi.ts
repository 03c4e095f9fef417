import {toJsonSchema} from '@valibot/to-json-schema';
import {refusalReasons} from '#core';
import {version, type HttpRoutePlugin} from '#kernel';
import {problemTypePrefix} from './problem.js';

/** An OpenAPI 3.1 document. */
export type OpenApiDocument = Readonly<{
	openapi: string;
	info: Readonly<{title: string; version: string}>;
	paths: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
	components: Readonly<Record<string, unknown>>;
}>;

const problemReference = {content: {'application/problem+json': {schema: {$ref: '#/components/schemas/Problem'}}}};

/** Generates the OpenAPI document of the routes, from the schemas that validate their request bodies. */
export function describeRoutes<Context>(title: string, routes: ReadonlyArray<HttpRoutePlugin<Context>>): OpenApiDocument {
	const paths: Record<string, Record<string, unknown>> = {};
	for (const route of routes) {
		const path = route.path.replaceAll(/:(\w+)/g, '{$1}');
		paths[path] = {...paths[path], [route.method.toLowerCase()]: describeOperation(route)};
	}

	return {
		openapi: '3.1.0', info: {title, version}, paths, components: {schemas: {Problem: problemSchema}},
	};
}

function describeOperation<Context>(route: HttpRoutePlugin<Context>): unknown {
	const parameters = [...route.path.matchAll(/:(\w+)/g)].map(([, name]) => ({
		name, in: 'path', required: true, schema: {type: 'string'},
	}));
	return {
		operationId: route.name,
		...(route.summary === undefined ? {} : {summary: route.summary}),
		...(parameters.length === 0 ? {} : {parameters}),
		...(route.bodySchema === undefined ? {} : {requestBody: {required: true, content: {'application/json': {schema: describeSchema(route.bodySchema)}}}}),
		responses: {
			'2XX': {description: 'Done or accepted', content: {'application/json': {}}},
			'4XX': {description: 'Refused', ...problemReference},
			'5XX': {description: 'Not available or outcome unknown', ...problemReference},
		},
	};
}

/** Transformations such as lower-casing have no equivalent in JSON Schema and are omitted. */
function describeSchema(schema: Parameters<typeof toJsonSchema>[0]): unknown {
	return toJsonSchema(schema, {errorMode: 'ignore', typeMode: 'input'});
}

const problemSchema = {
	type: 'object',
	description: 'Problem details (RFC 9457)',
	required: ['type', 'title', 'status', 'reason'],
	properties: {
		type: {type: 'string', description: `${problemTypePrefix} followed by the reason`},
		title: {type: 'string'},
		status: {type: 'integer'},
		detail: {type: 'string'},
		reason: {type: 'string', description: 'Stable and machine-readable', examples: refusalReasons},
		outcome: {enum: ['not-run', 'unknown'], description: 'Whether the work certainly did not run'},
		retryAfterMilliseconds: {type: 'number'},
		findings: {type: 'array', items: {type: 'object', properties: {place: {type: 'string'}, message: {type: 'string'}}}},
	},
};
