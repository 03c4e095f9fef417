import * as valibot from 'valibot';
import {requestWorkSchema, type PlanName, type RequestWork} from '#core';
import type {HttpReply} from '#kernel';
import {checkIdentifier} from '#recovery';
import {entryPlugins} from '../plugins.js';
import {encodeFindings, encodeSubmitReply} from '../requests/reply.js';
import type {SubmitReply} from '../requests/types.js';
import type {EntryContext} from '../types.js';
import {requestsService} from './requests.js';
import {configurationService} from './watch-configuration.js';

const submissionSchema = valibot.object({
	...requestWorkSchema.entries,
	/** Whether the caller has submitted the identifier before. */
	retry: valibot.optional(valibot.boolean(), false),
});

entryPlugins.register({
	kind: 'http-route',
	name: 'run-request',
	method: 'POST',
	path: '/v1/requests',
	bodySchema: submissionSchema,
	async handle({body, signal}, context) {
		const {retry, ...work} = body as RequestWork & Readonly<{retry: boolean}>;
		return runRequest(work, retry, context, signal);
	},
});

async function runRequest(work: RequestWork, isRetry: boolean, context: EntryContext, signal: AbortSignal): Promise<HttpReply> {
	const check = work.idempotent ? {kind: 'accepted' as const} : checkIdentifier(work.requestId, context.clock.now());
	switch (check.kind) {
		case 'invalid': {
			return encodeFindings([check.finding]);
		}

		case 'refused': {
			return encodeSubmitReply(work.requestId, check, isRetry);
		}

		case 'accepted': {
			const reply: SubmitReply = isUnknownPlan(work.plan, context) ? {kind: 'refused', reason: 'unknown-plan'} : await submitRequest(work, {isRetry, mayForward: true}, context, signal);
			return encodeSubmitReply(work.requestId, reply, isRetry);
		}
	}
}

/** Whether the configuration in force has no such plan. Only the entry that took a request from its caller decides this: another one may have another configuration, whose effect the caller would see once and then no more. */
function isUnknownPlan(plan: PlanName, {services}: EntryContext): boolean {
	return services.use(configurationService).read().current?.plans.every(({name}) => name !== plan) ?? false;
}

/** Submits a request within the limits of its plan. */
export async function submitRequest(
	work: RequestWork,
	options: Readonly<{isRetry: boolean; mayForward: boolean}>,
	context: EntryContext,
	signal?: AbortSignal,
): Promise<SubmitReply> {
	const {services, settings} = context;
	const {current} = services.use(configurationService).read();
	if (current === undefined) {
		return {kind: 'refused', reason: 'no-configuration'};
	}

	const planLimit = Math.min(settings['maximum-in-flight-per-plan'], readPlanLimit(work.plan, context));
	return services.use(requestsService).submit(work, {...options, planLimit, totalLimit: settings['maximum-in-flight']}, signal);
}

/** An entry admits at most as many requests of a plan as the plan may have running and queued in the whole zone. */
function readPlanLimit(plan: PlanName, {services}: EntryContext): number {
	const allowance = services.use(configurationService).read().current?.allowances.find(({plan: name}) => name === plan);
	return allowance === undefined ? Infinity : allowance.maximumSlots + allowance.maximumQueued;
}
