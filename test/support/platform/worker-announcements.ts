/** What the platform's worker stand-in says of itself to its agent. */
import type {Milliseconds} from '#core';

/** An announcement as it was or would have been sent. */
export type SentAnnouncement = Readonly<{identifier: string; body: unknown}>;

const confirmationMilliseconds = 1000;

/** Returns whether the announcement was acknowledged. */
export async function sendAnnouncement(agent: string, {identifier, body}: SentAnnouncement): Promise<boolean> {
	return isConfirmed(`http://${agent}/v1/instances/${identifier}`, {method: 'PUT', headers: {'content-type': 'application/json'}, body: JSON.stringify(body)});
}

/** Returns whether the departure was acknowledged. */
export async function sendDeparture(agent: string, identifier: string): Promise<boolean> {
	return isConfirmed(`http://${agent}/v1/instances/${identifier}`, {method: 'DELETE'});
}

async function isConfirmed(url: string, request: RequestInit): Promise<boolean> {
	try {
		const response = await fetch(url, {...request, signal: AbortSignal.timeout(confirmationMilliseconds)});
		return response.ok;
	} catch {
		// The agent may not run yet; the next attempt finds it.
		return false;
	}
}

/** How a worker that drains ends. */
export type Departure =
	/** It reports its departure until that is confirmed, and then ends at once; without a confirmation it ends after `endsAfter`. */
	| Readonly<{kind: 'confirmed'; endsAfter: Milliseconds}>
	/** The agent receives the report, but its confirmation is lost. */
	| Readonly<{kind: 'confirmation-lost'; endsAfter: Milliseconds}>
	/** The report itself is under way until `deliverLate` sends it. */
	| Readonly<{kind: 'report-delayed'; endsAfter: Milliseconds}>;
