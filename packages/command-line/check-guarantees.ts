import * as valibot from 'valibot';
import type {Lists} from '#configuration';
import type {Finding} from '#core';
import {callEntry} from './call-entry.js';
import {UnavailableError} from './errors.js';
import {readFleetView} from './fleet.js';

const findingsSchema = valibot.object({findings: valibot.array(valibot.object({place: valibot.string(), message: valibot.string()}))});

/** The result of checking guarantees against the current workers. */
export type GuaranteeCheck = Readonly<{
	findings: readonly Finding[];
	/** Zones with guarantees that no entry could check. */
	uncheckedZones: readonly string[];
}>;

/**
Queries one entry in each zone that has guarantees, as an entry knows only the workers of its own zone.

@throws {UnavailableError} if the named entry does not answer.
*/
export async function checkGuarantees(origin: string, lists: Lists): Promise<GuaranteeCheck> {
	const view = await readFleetView(origin);
	if (view === undefined) {
		throw new UnavailableError(`entry ${origin}`, 'it did not return a valid view of the fleet');
	}

	const origins = new Map<string, string>(view.peers.map(({zone, callerAddress}) => [zone, `http://${callerAddress}`]));
	origins.set(view.zone, origin);
	const zones = new Set<string>(lists.allowances.flatMap(({guarantees}) => guarantees.map(({zone}) => zone)));
	const checks = await Promise.all([...zones].map(async zone => {
		const zoneOrigin = origins.get(zone);
		return {zone, findings: zoneOrigin === undefined ? undefined : await checkZone(zoneOrigin, lists)};
	}));
	return {
		findings: checks.flatMap(({findings}) => findings ?? []),
		uncheckedZones: checks.filter(({findings}) => findings === undefined).map(({zone}) => zone),
	};
}

/** Undefined if the entry cannot check: one that has just started does not know its workers yet. */
async function checkZone(origin: string, {plans, allowances}: Lists): Promise<readonly Finding[] | undefined> {
	const result = await callEntry(origin, 'POST', '/v1/configuration/check', {plans, allowances});
	const decoded = valibot.safeParse(findingsSchema, result.kind === 'answered' && result.status === 200 ? result.body : undefined);
	return decoded.success ? decoded.output.findings : undefined;
}
