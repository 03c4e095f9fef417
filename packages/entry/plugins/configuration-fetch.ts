import {createServiceKey} from '#kernel';
import {entryPlugins} from '../plugins.js';

/** Lets one exchange at a time ask for a newer configuration. Copies from several entries would fill a slow link, and none would arrive in time. */
export type ConfigurationFetch = Readonly<{
	/** Returns whether the caller may ask; it then calls `end` after its exchange. */
	begin(): boolean;
	end(): void;
}>;

export const configurationFetchService = createServiceKey<ConfigurationFetch>('configuration-fetch');

entryPlugins.register({
	kind: 'task',
	name: 'configuration-fetch',
	start({services}) {
		let isFetching = false;
		services.provide(configurationFetchService, {
			begin() {
				const mayFetch = !isFetching;
				isFetching = true;
				return mayFetch;
			},
			end() {
				isFetching = false;
			},
		});
		return () => undefined;
	},
});
