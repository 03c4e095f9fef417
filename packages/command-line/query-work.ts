import {
	createClient, type Client, type FindReply, type JobStatus, type RequestStatus,
} from '#client';
import {assertNever} from '#core';
import {exitCodeDone, exitCodeUnknown} from './constants.js';
import {BadInputError, formatFinding, UnavailableError} from './errors.js';
import {formatTable} from './table.js';
import type {CommandContext} from './types.js';

type Question = 'find' | 'cancel';

/** Asks an entry about an identifier, as a request first and then as a job, and prints what it knows. */
export async function queryWork(id: string, question: Question, context: CommandContext): Promise<number> {
	const origin = context.useEntryOrigin();
	const client = createClient({origins: [origin], clock: context.clock, random: context.random});
	try {
		const request = await askRequest(client, id, question);
		const reply = request.kind === 'absent' ? await askJob(client, id, question) : request;
		return print(id, reply, origin, context);
	} finally {
		await client.close();
	}
}

async function askRequest(client: Client, id: string, question: Question): Promise<FindReply<RequestStatus>> {
	switch (question) {
		case 'find': {
			return client.findRequest(id);
		}

		case 'cancel': {
			return client.cancelRequest(id);
		}

		default: {
			return assertNever(question);
		}
	}
}

async function askJob(client: Client, id: string, question: Question): Promise<FindReply<JobStatus>> {
	switch (question) {
		case 'find': {
			return client.findJob(id);
		}

		case 'cancel': {
			return client.cancelJob(id);
		}

		default: {
			return assertNever(question);
		}
	}
}

function print(id: string, reply: FindReply<RequestStatus | JobStatus>, origin: string, context: CommandContext): number {
	switch (reply.kind) {
		case 'found': {
			const {status} = reply;
			context.print(context.isJson ? JSON.stringify(status) : formatStatus(status));
			return status.outcome === 'unknown' && !('isInFlight' in status && status.isInFlight) ? exitCodeUnknown : exitCodeDone;
		}

		case 'absent': {
			context.printError(`${id}: ${origin} does not know it, which does not mean that it did not run`);
			return exitCodeUnknown;
		}

		case 'invalid': {
			throw new BadInputError(reply.findings.map(finding => formatFinding(finding)));
		}

		case 'unavailable': {
			throw new UnavailableError(`entry ${origin}`, reply.message);
		}

		default: {
			return assertNever(reply);
		}
	}
}

function formatStatus(status: RequestStatus | JobStatus): string {
	const rows = Object.entries(status)
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => [name, typeof value === 'string' ? value : JSON.stringify(value)]);
	return formatTable(['field', 'value'], rows);
}
