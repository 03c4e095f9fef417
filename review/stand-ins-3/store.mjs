/** Stand-in of the platform's metadata store, by its published protocol. */
/* eslint camelcase: off -- Messages have the names of the platform's pages. */
import {createServer} from 'node:http';

/** Items on one page of a list. */
const pageSize = 500;
/** Entries that one transaction may have. */
const maximumEntries = 32;

/**
Serves the store at a free port of the host.

@param {string} host
@param {{valueBytes: number, note: (event: Record<string, unknown>) => void}} options
*/
export async function serveStore(host, {valueBytes, note}) {
	const items = new Map();
	const leases = new Map();
	const waiting = new Set();
	const history = [];
	let revision = 1;
	let lastLease = 100;

	const wake = () => {
		for (const look of waiting) {
			look();
		}
	};

	const remove = key => {
		if (items.delete(key)) {
			history.push({key, revision, deleted: true});
		}
	};

	const put = (key, value, lease) => {
		const item = {
			key, value, revision, created: items.get(key)?.created ?? revision, lease,
		};
		items.set(key, item);
		history.push(item);
	};

	const endLease = lease => {
		const held = leases.get(lease);
		if (held === undefined) {
			return false;
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
		return true;
	};

	const renewLease = (lease, timeToLive) => {
		clearTimeout(leases.get(lease)?.timer);
		leases.set(lease, {
			timeToLive,
			timer: setTimeout(() => {
				endLease(lease);
			}, timeToLive),
		});
	};

	const isTooLong = ({key, value}) => Buffer.byteLength(key) > 200 || Buffer.from(value, 'base64').length > valueBytes;

	const transact = ({expected_rev: conditions = [], set_keys: sets = [], remove: removals = []}) => {
		const tooLong = sets.filter(set => isTooLong(set));
		if (conditions.length + sets.length + removals.length > maximumEntries || tooLong.length > 0) {
			note({event: 'store refused a transaction', keys: sets.map(({key}) => key), tooLong: tooLong.map(({key, value}) => ({key, bytes: Buffer.from(value, 'base64').length}))});
			return [400, {}];
		}

		if (conditions.some(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected)) {
			return [412, {items: conditions.flatMap(({key}) => items.get(key) ?? [])}];
		}

		if (sets.some(({lease = 0}) => lease !== 0 && !leases.has(lease))) {
			return [404, {}];
		}

		revision++;
		for (const {key, value, lease = 0} of sets) {
			put(key, value, lease);
		}

		for (const key of removals) {
			remove(key);
		}

		wake();
		return [200, {revision}];
	};

	const watch = (parameters, response) => {
		const prefix = parameters.get('prefix') ?? '';
		const after = Number(parameters.get('after'));
		const answer = events => {
			clearTimeout(timer);
			waiting.delete(look);
			reply(response, 200, {events, at: revision});
		};

		const look = () => {
			const events = [];
			for (let index = history.length - 1; index >= 0 && history[index].revision > after; index--) {
				if (history[index].key.startsWith(prefix)) {
					events.unshift(history[index]);
				}
			}

			if (events.length > 0) {
				answer(events);
			}
		};

		const timer = setTimeout(() => {
			answer([]);
		}, Number(parameters.get('wait_ms')));
		waiting.add(look);
		response.once('close', () => {
			clearTimeout(timer);
			waiting.delete(look);
		});
		look();
	};

	const list = parameters => {
		const prefix = parameters.get('prefix') ?? '';
		const after = parameters.get('after') ?? '';
		const found = [...items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.toSorted((first, second) => first.key < second.key ? -1 : 1);
		return [200, {items: found.slice(0, pageSize), has_more: found.length > pageSize, at: revision}];
	};

	const handleLease = (method, path, body) => {
		if (path === '/v1/kv-lease') {
			lastLease++;
			renewLease(lastLease, body.ttl_ms);
			return [200, {lease: lastLease, ttl_ms: body.ttl_ms}];
		}

		const lease = Number(path.split('/').at(-1));
		if (method === 'DELETE') {
			return endLease(lease) ? [200, {}] : [404, {}];
		}

		const held = leases.get(lease);
		if (held === undefined) {
			return [404, {}];
		}

		renewLease(lease, held.timeToLive);
		return [200, {lease, ttl_ms: held.timeToLive}];
	};

	const handle = (method, {pathname, searchParams}, body) => {
		switch (pathname) {
			case '/v1/kv-key': {
				const item = items.get(searchParams.get('key') ?? '');
				return item === undefined ? [404, {}] : [200, {...item, at: revision}];
			}

			case '/v1/kv-range': {
				return list(searchParams);
			}

			case '/v1/kv-txn': {
				return transact(body);
			}

			default: {
				return handleLease(method, pathname, body);
			}
		}
	};

	const server = createServer(async (request, response) => {
		const url = new URL(request.url ?? '/', 'http://localhost');
		const text = await readText(request);
		if (url.pathname === '/v1/kv-watch') {
			watch(url.searchParams, response);
			return;
		}

		const [status, answer] = handle(request.method ?? '', url, text === '' ? {} : JSON.parse(text));
		reply(response, status, answer);
	});
	await listen(server, host);
	return {
		address: `${host}:${server.address().port}`,
		/** Writes as the operator does. */
		put(key, value) {
			revision++;
			put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
			wake();
		},
		/** Reads a value; undefined if the key does not exist. */
		read(key) {
			const item = items.get(key);
			return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
		},
		close() {
			for (const {timer} of leases.values()) {
				clearTimeout(timer);
			}

			server.closeAllConnections();
			server.close();
		},
	};
}

/** Reads a body; empty if the connection ends before. */
export async function readText(request) {
	const chunks = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk);
		}
	} catch {
		return '';
	}

	return Buffer.concat(chunks).toString('utf8');
}

export function reply(response, status, body) {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}

export async function listen(server, host, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}
