import type {RandomSource} from '#core';
import type {
	Clock, Counters, ProgramLog, Services,
} from '#kernel';
import type {EntrySettings} from './settings.js';

/** Ports that the entry listens on. */
export type ListeningPorts = Readonly<{callers: number; peers: number}>;

/** Context shared by the entry's plug-ins. */
export type EntryContext = Readonly<{
	settings: EntrySettings;
	clock: Clock;
	random: RandomSource;
	log: ProgramLog;
	counters: Counters;
	services: Services;
	/** Resolves once both listeners are open. */
	listening: Promise<ListeningPorts>;
}>;
