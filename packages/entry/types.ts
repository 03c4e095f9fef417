import type {RandomSource} from '#core';
import type {
	Clock, Counters, ProgramLog, Services,
} from '#kernel';
import type {EntrySettings} from './settings.js';

/** What the entry's plug-ins share. */
export type EntryContext = Readonly<{
	settings: EntrySettings;
	clock: Clock;
	random: RandomSource;
	log: ProgramLog;
	counters: Counters;
	services: Services;
}>;
