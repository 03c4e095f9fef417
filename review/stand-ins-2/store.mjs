/* eslint camelcase: ['error', {properties: 'never'}] -- the platform's fields have their own spelling. */
/** Stand-in of the platform's key-value store, by its published protocol. Each machine reaches it at an address of its own, so that the store can leave one machine without answers and serve the others. */
import {Buffer} from 'node:buffer';
import {listen, readJson, reply} from './http.mjs';

const pageSize = 500;
const historyMilliseconds = 20_000;

/** Starts a store; `addListener` opens an address for one machine. */
export function createStore() {
	const items = new Map();
	const leases = new Map();
	const watches = new Map();
	const servers = [];
	let history = [];
	let forgottenThrough = 0;
	let revision = 10;
	let nextLease = 100;

	const addEvent = event => {
		history.push({at: Date.now(), event});
		const tooOld = history.filter(({at}) => Date.now() - at > historyMilliseconds);
		forgottenThrough = Math.max(forgottenThrough, ...tooOld.map(entry => entry.event.revision));
		history = history.slice(tooOld.length);
	};

	const wake = () => {
		for (const look of watches.keys()) {
			look();
		}
	};

	const remove = key => {
		if (items.delete(key)) {
			addEvent({key, revision, deleted: true});
		}
	};

	const endLease = lease => {
		clearTimeout(leases.get(lease)?.timer);
		if (!leases.delete(lease)) {
			return;
		}

		revision++;
		for (const item of items.values()) {
			if (item.lease === lease) {
				remove(item.key);
			}
		}

		wake();
	};

	const armLease = (lease, timeToLive) => {
		clearTimeout(leases.get(lease)?.timer);
		leases.set(lease, {timeToLive, timer: setTimeout(endLease, timeToLive, lease)});
	};

	const put = (key, value, lease) => {
		const item = {
			key, value, revision, created: items.get(key)?.created ?? revision, lease,
		};
		items.set(key, item);
		addEvent(item);
	};

	const transact = ({expected_rev: conditions = [], set_keys: puts = [], remove: removals = []}) => {
		if (conditions.length + puts.length + removals.length > 32) {
			return [400, {}];
		}

		if (conditions.some(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected)) {
			return [412, {items: conditions.flatMap(({key}) => items.get(key) ?? [])}];
		}

		if (puts.some(({lease = 0}) => lease !== 0 && !leases.has(lease))) {
			return [404, {}];
		}

		revision++;
		for (const {key, value, lease = 0} of puts) {
			put(key, value, lease);
		}

		for (const key of removals) {
			remove(key);
		}

		wake();
		return [200, {revision}];
	};

	const watch = (url, response, listener) => {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = Number(url.searchParams.get('after'));
		const end = (status, body) => {
			clearTimeout(watches.get(look));
			watches.delete(look);
			// A store that cannot be reached also leaves open watches without an answer.
			if (!listener.isSilent) {
				reply(response, status, body);
			}
		};

		const look = () => {
			if (after < forgottenThrough) {
				end(410, {});
				return;
			}

			const events = history.map(({event}) => event).filter(event => event.revision > after && event.key.startsWith(prefix));
			if (events.length > 0) {
				end(200, {events, at: revision});
			}
		};

		watches.set(look, setTimeout(() => {
			end(200, {events: [], at: revision});
		}, Math.min(30_000, Number(url.searchParams.get('wait_ms')))));
		response.once('close', () => {
			clearTimeout(watches.get(look));
			watches.delete(look);
		});
		look();
	};

	const handleLease = (method, lease) => {
		const held = leases.get(lease);
		if (held === undefined) {
			return [404, {}];
		}

		if (method === 'DELETE') {
			endLease(lease);
			return [200, {}];
		}

		armLease(lease, held.timeToLive);
		return [200, {ttl_ms: held.timeToLive}];
	};

	const handle = (method, url, body) => {
		const {pathname, searchParams} = url;
		switch (pathname) {
			case '/v1/kv-key': {
				const item = items.get(searchParams.get('key') ?? '');
				return item === undefined ? [404, {at: revision}] : [200, {...item, at: revision}];
			}

			case '/v1/kv-range': {
				const after = searchParams.get('after') ?? '';
				const found = [...items.values()]
					.filter(({key}) => key.startsWith(searchParams.get('prefix') ?? '') && key > after)
					.toSorted((first, second) => first.key < second.key ? -1 : 1);
				return [200, {items: found.slice(0, pageSize), has_more: found.length > pageSize, at: revision}];
			}

			case '/v1/kv-txn': {
				return transact(body);
			}

			case '/v1/kv-lease': {
				const lease = nextLease++;
				armLease(lease, body.ttl_ms);
				return [200, {lease, ttl_ms: body.ttl_ms}];
			}

			default: {
				return handleLease(method, Number(pathname.split('/').at(-1)));
			}
		}
	};

	return {
		/** Opens an address for one machine. While `isSilent`, its calls get no answer and do nothing, as if the store could not be reached. */
		async addListener(host) {
			const listener = {address: '', isSilent: false};
			const server = await listen(host, 0, async (request, response) => {
				const body = await readJson(request);
				const url = new URL(request.url, 'http://localhost');
				if (listener.isSilent) {
					return;
				}

				if (url.pathname === '/v1/kv-watch') {
					watch(url, response, listener);
					return;
				}

				const [status, answer] = handle(request.method, url, body);
				if (!listener.isSilent) {
					reply(response, status, answer);
				}
			});
			servers.push(server);
			listener.address = `${host}:${server.address().port}`;
			return listener;
		},
		/** Writes as the operator does. */
		write(key, value) {
			revision++;
			put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
			wake();
		},
		close() {
			for (const {timer} of leases.values()) {
				clearTimeout(timer);
			}

			for (const server of servers) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
}
