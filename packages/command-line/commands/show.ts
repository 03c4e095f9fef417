import {stringify} from 'yaml';
import {shapeOf, type Configuration} from '#configuration';
import {readWholeNumber} from '../arguments.js';
import {exitCodeDone, exitCodeFailure} from '../constants.js';
import {commandPlugins} from '../plugins.js';
import {listsOf, readCurrent, readRevision} from '../read-configuration.js';
import {formatTable} from '../table.js';

commandPlugins.register({
	kind: 'command',
	name: 'show',
	description: 'Show the configuration in the store',
	options: [
		{flag: '--revision', description: 'An earlier revision instead of the current one'},
		{flag: '--yaml', description: 'Print YAML that can be edited and passed to `put`', default: false},
	],
	async perform(_commandArguments, options, context) {
		const revision = readWholeNumber(options, 'revision');
		const store = context.useStore();
		const configuration = revision === undefined ? await readCurrent(store) : await readRevision(store, revision);
		if (configuration === undefined) {
			context.printError('the store holds no configuration');
			return exitCodeFailure;
		}

		if (context.isJson) {
			context.print(JSON.stringify(configuration));
		} else if (options['yaml'] === true) {
			context.print(stringify({revision: configuration.revision, ...listsOf(configuration)}).trimEnd());
		} else {
			context.print(formatConfiguration(configuration));
		}

		return exitCodeDone;
	},
});

function formatConfiguration({revision, changedBy, changedAt, plans, allowances}: Configuration): string {
	const rows = plans.map(({name, urgency, weight}) => {
		const allowance = allowances.find(({plan}) => plan === name);
		return [
			name,
			urgency,
			weight,
			allowance?.maximumAccelerators ?? 0,
			allowance?.maximumSlots ?? 0,
			allowance?.maximumQueued ?? 0,
			(allowance?.guarantees ?? []).map(guarantee => `${guarantee.count} x ${shapeOf(guarantee)}`).join('; '),
		];
	});
	return `revision ${revision}, changed by ${changedBy} at ${new Date(changedAt).toISOString()}\n\n`
		+ formatTable(['plan', 'urgency', 'weight', 'accelerators', 'slots', 'queued', 'guarantees'], rows);
}
