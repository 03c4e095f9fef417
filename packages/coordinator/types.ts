import type {RandomSource} from '#core';
import type {
	Clock, Counters, ProgramLog, Services,
} from '#kernel';
import type {CoordinatorSettings} from './settings.js';

/** Context that every plug-in of the entry receives. */
export type CoordinatorContext = Readonly<{
	settings: CoordinatorSettings;
	clock: Clock;
	random: RandomSource;
	log: ProgramLog;
	counters: Counters;
	services: Services;
}>;
