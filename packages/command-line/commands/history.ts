import {
	describeDifferences, listHistoryRevisions, type Configuration,
} from '#configuration';
import {readWholeNumber} from '../arguments.js';
import {defaultHistoryLimit, exitCodeDone} from '../constants.js';
import {BadInputError} from '../errors.js';
import {commandPlugins} from '../plugins.js';
import {readCurrent, readRevision} from '../read-configuration.js';
import {formatTable} from '../table.js';
import type {KeyValueStore} from '#store';

commandPlugins.register({
	kind: 'command',
	name: 'history',
	description: 'List the latest revisions of the configuration',
	options: [{flag: '--limit', description: 'Number of revisions', default: String(defaultHistoryLimit)}],
	async perform(_commandArguments, options, context) {
		const revisions = await readHistory(context.useStore(), readWholeNumber(options, 'limit') ?? defaultHistoryLimit);
		const entries = revisions.map((configuration, index) => {
			const previous = revisions[index + 1];
			const {revision, changeId, changedBy, changedAt} = configuration;
			return {
				revision, changedAt: new Date(changedAt).toISOString(), changedBy, changeId,
				differences: previous === undefined ? undefined : describeDifferences(previous, configuration).length,
			};
		});
		context.print(context.isJson
			? JSON.stringify(entries)
			: formatTable(
				['revision', 'changed at', 'changed by', 'differences', 'change'],
				entries.map(({revision, changedAt, changedBy, differences, changeId}) => [revision, changedAt, changedBy, differences ?? '', changeId]),
			));
		return exitCodeDone;
	},
});

/** Reads the current revision and earlier ones, newest first. Skips revisions that were overwritten during the read. */
async function readHistory(store: KeyValueStore, limit: number): Promise<readonly Configuration[]> {
	const current = await readCurrent(store);
	if (current === undefined) {
		return [];
	}

	const found: Configuration[] = [current];
	for (const revision of listHistoryRevisions(current.revision, limit - 1)) {
		try {
			found.push(await readRevision(store, revision));
		} catch (error) {
			if (!(error instanceof BadInputError)) {
				throw error;
			}
		}
	}

	return found;
}
