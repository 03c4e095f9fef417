/** Serves one worker as a process of its own. */
/* eslint camelcase: off -- Messages have the names of the platform's pages. */
import process from 'node:process';
import {serveWorker} from './worker.mjs';

const [host, options] = process.argv.slice(2);
const {kinds, ...settings} = JSON.parse(options);
const kindOf = task => kinds.find(({prefix}) => task.startsWith(prefix));
const rules = [];
const worker = await serveWorker(host, {
	...settings,
	plan: task => kindOf(task).run,
	need: task => kindOf(task).need,
	note(event) {
		process.send({kind: 'note', event});
	},
});

/** The first rule that fits the call decides what becomes of it. */
worker.disturb((path, {task = '', run_id: run = 0}) => {
	const rule = rules.find(({calls, prefix = '', count = Infinity}) => calls.includes(path) && task.startsWith(prefix) && count > 0);
	if (rule === undefined) {
		return undefined;
	}

	rule.count = (rule.count ?? Infinity) - 1;
	process.send({
		kind: 'note', event: {
			event: `call ${rule.verdict}`, worker: settings.id, path, task, run,
		},
	});
	return rule.verdict;
});
process.on('message', ({kind, ...message}) => {
	switch (kind) {
		case 'announce': {
			worker.announceTo(message.address);
			break;
		}

		case 'disturb': {
			rules.push(message.rule);
			break;
		}

		case 'calm': {
			rules.length = 0;
			break;
		}

		case 'crash': {
			worker.crash(message.downMilliseconds);
			break;
		}

		case 'count': {
			process.send({kind: 'running', count: worker.running().length});
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
process.send({kind: 'ready', address: worker.address});
