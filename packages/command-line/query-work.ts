import {
	createClient, type Client, type FindReply, type JobStatus, type RequestStatus,
} from '#client';
import {assertNever} from '#core';
import {exitCodeDone, exitCodeUnknown} from './constants.js';
import {BadInputError, formatFinding, UnavailableError} from './errors.js';
import {formatTable} from './table.js';
import type {CommandContext} from './types.js';

type Operation = 'find' | 'cancel';

/** Queries or cancels the request or, if there is none, the job with an identifier, and prints its status. */
export async function queryWork(id: string, operation: Operation, context: CommandContext): Promise<number> {
	const origin = context.useEntryOrigin();
	const client = createClient({origins: [origin], clock: context.clock, random: context.random});
	try {
		const request = await sendForRequest(client, id, operation);
		const reply = request.kind === 'absent' ? await sendForJob(client, id, operation) : request;
		return print(id, reply, origin, context);
	} finally {
		await client.close();
	}
}

async function sendForRequest(client: Client, id: string, operation: Operation): Promise<FindReply<RequestStatus>> {
	switch (operation) {
		case 'find': {
			return client.findRequest(id);
		}

		case 'cancel': {
			return client.cancelRequest(id);
		}

		default: {
			return assertNever(operation);
		}
	}
}

async function sendForJob(client: Client, id: string, operation: Operation): Promise<FindReply<JobStatus>> {
	switch (operation) {
		case 'find': {
			return client.findJob(id);
		}

		case 'cancel': {
			return client.cancelJob(id);
		}

		default: {
			return assertNever(operation);
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
			context.printError(`${id}: ${origin} has no record of it; it may have run nevertheless`);
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
