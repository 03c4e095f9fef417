/** Stand-in of the platform's key-value service, by its published protocol. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

type Item = Readonly<{key: string; value: string; revision: number; created: number; lease: number}>;
type Event = Item | Readonly<{key: string; revision: number; deleted: true}>;

/** What the store does with calls. */
export type StoreMode =
	| 'serving'
	/** Refuses every call. */
	| 'busy'
	/** Carries out writes and answers none. */
	| 'losing'
	/** Answers nothing and does nothing. */
	| 'silent';

export type PlatformStore = Readonly<{
	address: string;
	setMode(mode: StoreMode): void;
	/** Writes as the operator does. */
	put(key: string, value: unknown): void;
	putBytes(key: string, bytes: string): void;
	remove(key: string): void;
	read(key: string): unknown;
	/** Forgets the history, so that waiting watches are gone. */
	compact(): void;
	close(): Promise<void>;
}>;

type TransactionBody = Readonly<{
	expected_rev?: ReadonlyArray<Readonly<{key: string; revision: number}>>;
	set_keys?: ReadonlyArray<Readonly<{key: string; value: string; lease?: number}>>;
	remove?: readonly string[];
}>;

const ttlSlackMilliseconds = 20;

export async function servePlatformStore(host = '127.0.0.1'): Promise<PlatformStore> {
	const items = new Map<string, Item>();
	const leases = new Map<number, {timeToLive: number; timer: NodeJS.Timeout}>();
	let history: Event[] = [];
	let compactedThrough = 0;
	let revision = 0;
	let nextLease = 100;
	let mode: StoreMode = 'serving';
	const waiting = new Set<() => void>();

	const wake = () => {
		for (const look of waiting) {
			look();
		}
	};

	const remove = (key: string) => {
		if (items.delete(key)) {
			history.push({key, revision, deleted: true});
		}
	};

	const endLease = (lease: number) => {
		const held = leases.get(lease);
		if (held === undefined) {
			return;
		}

		clearTimeout(held.timer);
		leases.delete(lease);
		revision++;
		for (const item of items.values()) {
			if (item.lease === lease) {
				remove(item.key);
			}
		}

		wake();
	};

	const arm = (lease: number, timeToLive: number) => {
		clearTimeout(leases.get(lease)?.timer);
		leases.set(lease, {
			timeToLive, timer: setTimeout(() => {
				endLease(lease);
			}, timeToLive + ttlSlackMilliseconds),
		});
	};

	const put = (key: string, value: string, lease: number) => {
		const item = {
			key, value, revision, created: items.get(key)?.created ?? revision, lease,
		};
		items.set(key, item);
		history.push(item);
	};

	const transact = (body: TransactionBody): [number, unknown] => {
		const conditions = body.expected_rev ?? [];
		const sets = body.set_keys ?? [];
		if (conditions.some(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected)) {
			return [412, {items: conditions.flatMap(({key}) => items.get(key) ?? [])}];
		}

		if (sets.some(({lease}) => lease !== undefined && lease !== 0 && !leases.has(lease))) {
			return [404, {}];
		}

		revision++;
		for (const {key, value, lease} of sets) {
			put(key, value, lease ?? 0);
		}

		for (const key of body.remove ?? []) {
			remove(key);
		}

		wake();
		return [200, {revision}];
	};

	const watch = (url: URL, response: ServerResponse) => {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = Number(url.searchParams.get('after'));
		const answer = (status: number, body: unknown) => {
			waiting.delete(look);
			clearTimeout(timer);
			reply(response, status, body);
		};

		const look = () => {
			if (after < compactedThrough) {
				answer(410, {});
				return;
			}

			const events = history.filter(event => event.revision > after && event.key.startsWith(prefix));
			if (events.length > 0) {
				answer(200, {events, at: revision});
			}
		};

		const timer = setTimeout(() => {
			answer(200, {events: [], at: revision});
		}, Number(url.searchParams.get('wait_ms')));
		waiting.add(look);
		response.once('close', () => {
			waiting.delete(look);
			clearTimeout(timer);
		});
		look();
	};

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const url = new URL(request.url ?? '/', 'http://localhost');
		const chunks: Buffer[] = [];
		for await (const chunk of request) {
			chunks.push(chunk as Buffer);
		}

		const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8')) as never;
		if (mode === 'silent') {
			return;
		}

		if (mode === 'busy') {
			reply(response, 503, {});
			return;
		}

		if (url.pathname === '/v1/kv-watch') {
			watch(url, response);
			return;
		}

		const [status, answer] = handle(request.method ?? '', url, body);
		if (mode !== 'losing') {
			reply(response, status, answer);
		}
	};

	const handle = (method: string, url: URL, body: Readonly<Record<string, unknown>>): [number, unknown] => {
		const {pathname, searchParams} = url;
		if (pathname === '/v1/kv-key') {
			const item = items.get(searchParams.get('key') ?? '');
			return item === undefined ? [404, {}] : [200, {...item, at: revision}];
		}

		if (pathname === '/v1/kv-range') {
			const after = searchParams.get('after') ?? '';
			const found = [...items.values()]
				.filter(({key}) => key.startsWith(searchParams.get('prefix') ?? '') && key > after)
				.toSorted((first, second) => first.key < second.key ? -1 : 1);
			return [200, {items: found.slice(0, pageSize), has_more: found.length > pageSize, at: revision}];
		}

		if (pathname === '/v1/kv-txn') {
			return transact(body);
		}

		if (pathname === '/v1/kv-lease') {
			const lease = nextLease++;
			arm(lease, Number(body['ttl_ms']));
			return [200, {lease, ttl_ms: body['ttl_ms']}];
		}

		const lease = Number(pathname.split('/').at(-1));
		const held = leases.get(lease);
		if (held === undefined) {
			return [404, {}];
		}

		if (method === 'DELETE') {
			endLease(lease);
			return [200, {}];
		}

		arm(lease, held.timeToLive);
		return [200, {ttl_ms: held.timeToLive}];
	};

	const server = createServer((request, response) => {
		void serve(request, response);
	});
	await listen(server, host);
	const {port} = server.address() as AddressInfo;
	return {
		address: `${host}:${port}`,
		setMode(next) {
			mode = next;
		},
		put(key, value) {
			revision++;
			put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
			wake();
		},
		remove(key) {
			revision++;
			remove(key);
			wake();
		},
		putBytes(key, bytes) {
			revision++;
			put(key, bytes, 0);
			wake();
		},
		read(key) {
			const item = items.get(key);
			return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
		},
		compact() {
			compactedThrough = revision;
			history = [];
			wake();
		},
		async close() {
			for (const {timer} of leases.values()) {
				clearTimeout(timer);
			}

			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

/** Items on one page; small, so that tests turn pages. */
const pageSize = 3;

function reply(response: ServerResponse, status: number, body: unknown): void {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}

export async function listen(server: Server, host: string, port = 0): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}
