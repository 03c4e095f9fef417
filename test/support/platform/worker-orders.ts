/** HTTP listener of the platform's worker stand-in: passes orders to the present incarnation, or carries them out late and without an answer. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {assertNever, type Milliseconds} from '#core';
import {listen} from './store.js';
import type {
	Incarnation, Order, Respond, Answer,
} from './worker-incarnation.js';

export type OrderKind = 'start' | 'stop' | 'hold';

/** How late orders are carried out; `until-told` waits for `carryOutLateOrders`, `never` loses them. */
export type OrderDelay = Milliseconds | 'until-told' | 'never';

/** An order that gets no answer and has not been carried out yet. */
export type LateOrder = Readonly<{
	kind: OrderKind;
	order: Order;
	/** Identifier of the worker that it is for; a worker with another one carries out nothing. */
	expected: string | undefined;
}>;

export type OrderListener = Readonly<{
	address: string;
	/** Gives new orders of these kinds no answer, and carries them out later. */
	delayOrders(kinds: readonly OrderKind[], delay: OrderDelay): void;
	/** Answers new orders again; those that are late already stay late. */
	answerOrders(): void;
	lateOrders(): readonly LateOrder[];
	/** Carries out all late orders, by the incarnation that is up now. */
	carryOutLateOrders(): void;
	/** Closes the port and every connection, so that no call is answered. */
	goDown(): void;
	comeUp(): Promise<void>;
	close(): Promise<void>;
}>;

const kindsByPath: ReadonlyMap<string, OrderKind> = new Map([['/v1/run-start', 'start'], ['/v1/run-stop', 'stop'], ['/v1/hold', 'hold']]);

type Owner = Readonly<{
	identifier(): string;
	/** Undefined while the worker is down. */
	incarnation(): Incarnation | undefined;
	/** Whether the worker ends at the receipt of this start, before it answers. */
	crashesAt(order: Order): boolean;
}>;

export async function serveOrders(host: string, owner: Owner): Promise<OrderListener> {
	const delays = new Map<OrderKind, OrderDelay>();
	const late = new Map<LateOrder, NodeJS.Timeout | undefined>();

	const carryOut = ({kind, order, expected}: LateOrder, respond: Respond) => {
		const incarnation = owner.incarnation();
		if (incarnation === undefined) {
			return;
		}

		if (expected !== undefined && expected !== owner.identifier()) {
			respond({status: 421, body: {}});
			return;
		}

		switch (kind) {
			case 'start': {
				const answer = incarnation.start(order);
				if (answer.status !== 200 || !owner.crashesAt(order)) {
					respond(answer);
				}

				break;
			}

			case 'stop': {
				respond(incarnation.stop(order));
				break;
			}

			case 'hold': {
				incarnation.hold(order, respond);
				break;
			}

			default: {
				assertNever(kind);
			}
		}
	};

	const carryOutLate = (order: LateOrder) => {
		clearTimeout(late.get(order));
		late.delete(order);
		carryOut(order, () => false);
	};

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const chunks: Buffer[] = [];
		for await (const chunk of request) {
			chunks.push(chunk as Buffer);
		}

		const kind = kindsByPath.get(request.url ?? '');
		if (kind === undefined) {
			reply(response, {status: 404, body: {}});
			return;
		}

		const expected = request.headers['expect-instance']?.toString();
		const order = JSON.parse(Buffer.concat(chunks).toString('utf8')) as Order;
		const delay = delays.get(kind);
		if (delay === undefined) {
			carryOut({kind, order, expected}, answer => reply(response, answer));
			return;
		}

		if (delay === 'never') {
			return;
		}

		const delayed = {kind, order, expected};
		late.set(delayed, delay === 'until-told'
			? undefined
			: setTimeout(() => {
				carryOutLate(delayed);
			}, delay));
	};

	const server = createServer((request, response) => {
		// A connection that closes while a request arrives delivers no order.
		serve(request, response).catch(() => undefined);
	});
	await listen(server, host);
	const {port} = server.address() as AddressInfo;
	return {
		address: `${host}:${port}`,
		delayOrders(kinds, delay) {
			for (const kind of kinds) {
				delays.set(kind, delay);
			}
		},
		answerOrders() {
			delays.clear();
		},
		lateOrders: () => [...late.keys()],
		carryOutLateOrders() {
			for (const order of late.keys()) {
				carryOutLate(order);
			}
		},
		goDown() {
			server.close();
			server.closeAllConnections();
		},
		async comeUp() {
			await listen(server, host, port);
		},
		async close() {
			for (const timer of late.values()) {
				clearTimeout(timer);
			}

			late.clear();
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

function reply(response: ServerResponse, {status, body}: Answer): boolean {
	if (response.destroyed) {
		return false;
	}

	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
	return true;
}
