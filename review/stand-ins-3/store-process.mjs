/** Serves the store as a process of its own. */
/* eslint camelcase: off -- Messages have the names of the platform's pages. */
import process from 'node:process';
import {serveStore} from './store.mjs';

const [host, valueBytes] = process.argv.slice(2);
const store = await serveStore(host, {
	valueBytes: Number(valueBytes),
	note(event) {
		process.send({kind: 'note', event});
	},
});
process.on('message', ({kind, key, value}) => {
	switch (kind) {
		case 'put': {
			store.put(key, value);
			break;
		}

		case 'read': {
			process.send({kind: 'value', key, value: store.read(key)});
			break;
		}

		default: {
			throw new Error(`unknown message ${kind}`);
		}
	}
});
process.once('disconnect', () => {
	process.exit(0);
});
process.send({kind: 'ready', address: store.address});
