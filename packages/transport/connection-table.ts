import type {RefusalReason} from '#core';
import {
	chooseReleases, chooseReplacement, type ConnectionPhase, type ConnectionUse,
} from '#limits';
import type {ClosureLog} from './closure-log.js';
import type {ListenerLimits} from './listener-limits.js';

/** What a connection holds, as it reports it. */
export type ConnectionState = Readonly<{
	phase: ConnectionPhase;
	team: string | undefined;
	bytes: number;
	releasableBytes: number;
	hasBeenServed: boolean;
}>;

/** The part of a connection that the table can use. */
export type TableConnection = Readonly<{
	remote: string;
	/** Refuses the request being received, or closes the connection. */
	close(reason: RefusalReason): void;
}>;

export type ConnectionTable = Readonly<{
	/** Makes room for a connection and returns its number; undefined if it is refused. */
	add(connection: TableConnection): number | undefined;
	/** Takes note of a change, and has connections closed if a bound is exceeded. */
	update(number: number, state: ConnectionState): void;
	remove(number: number): void;
	/** Closes connections whose answers are not read in time. */
	closeUnread(): void;
	size(): number;
}>;

type TableLimits = Omit<ListenerLimits, 'maximumBodyBytes'>;
type Row = Readonly<{connection: TableConnection; state: ConnectionState; since: number}>;

const initialState: ConnectionState = {
	phase: 'idle', team: undefined, bytes: 0, releasableBytes: 0, hasBeenServed: false,
};

/** Keeps what the connections of a listener hold, and carries out which of them are closed. */
export function createConnectionTable({maximumConnections, budgetBytes, teamBytes: maximumTeamBytes, unreadAnswerMilliseconds}: TableLimits, closures: ClosureLog, now: () => number): ConnectionTable {
	const rows = new Map<number, Row>();
	const teamBytes = new Map<string | undefined, number>();
	const budget = {totalBytes: budgetBytes, teamBytes: maximumTeamBytes};
	let totalBytes = 0;
	let lastNumber = 0;
	let isReleasing = false;

	const addBytes = (team: string | undefined, bytes: number) => {
		const sum = (teamBytes.get(team) ?? 0) + bytes;
		totalBytes += bytes;
		if (sum === 0) {
			teamBytes.delete(team);
		} else {
			teamBytes.set(team, sum);
		}
	};

	const describe = (): readonly ConnectionUse[] => [...rows].map(([connection, {state, since}]) => ({connection, since, ...state}));

	const close = (number: number, reason: RefusalReason) => {
		const row = rows.get(number);
		if (row !== undefined) {
			closures.record(reason, {remote: row.connection.remote, bytes: row.state.bytes, milliseconds: Math.round(now() - row.since)});
			row.connection.close(reason);
		}
	};

	const release = () => {
		if (isReleasing) {
			return;
		}

		isReleasing = true;
		for (const {connection, reason} of chooseReleases(describe(), budget, now())) {
			close(connection, reason);
		}

		isReleasing = false;
	};

	const remove = (number: number) => {
		const row = rows.get(number);
		if (row !== undefined) {
			addBytes(row.state.team, -row.state.bytes);
			rows.delete(number);
		}
	};

	return {
		add(connection) {
			if (rows.size >= maximumConnections) {
				const replaced = chooseReplacement(describe());
				if (replaced === undefined) {
					closures.record('too-many-connections', {remote: connection.remote, bytes: 0, milliseconds: 0});
					return undefined;
				}

				close(replaced, 'connection-replaced');
				remove(replaced);
			}

			lastNumber++;
			rows.set(lastNumber, {connection, state: initialState, since: now()});
			return lastNumber;
		},
		update(number, state) {
			const row = rows.get(number);
			if (row === undefined) {
				return;
			}

			addBytes(row.state.team, -row.state.bytes);
			addBytes(state.team, state.bytes);
			rows.set(number, {...row, state, since: state.phase === row.state.phase ? row.since : now()});
			if (totalBytes > budget.totalBytes || (teamBytes.get(state.team) ?? 0) > budget.teamBytes) {
				release();
			}
		},
		remove,
		closeUnread() {
			for (const [number, {state, since}] of rows) {
				if (state.phase === 'answering' && now() - since > unreadAnswerMilliseconds) {
					close(number, 'answer-not-read');
				}
			}
		},
		size: () => rows.size,
	};
}
