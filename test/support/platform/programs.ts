/** Starts the platform's programs on loopback, with the settings that the deploy file gives them. */
import {startDaemon, type Daemon, type DaemonOptions} from '../processes.js';

/** Addresses of one program; `base` is the first of its ports. */
type Place = Readonly<{index: number; host: string; base: number; seeds: string; storeAddress: string}>;

/** Where the programs of a fleet listen. */
export const addressesOf = {
	front: (host: string, base: number) => `${host}:${base + 2}`,
	readiness: (host: string, base: number) => `${host}:${base + 3}`,
	announcements: (host: string, base: number) => `${host}:${base + 4}`,
} as const;

/** Further settings, and how the process is started. */
export type ProgramOptions = Readonly<{settings?: Readonly<Record<string, string | number>>}> & DaemonOptions;

export async function startPlatformEntry({index, host, base, seeds, storeAddress}: Place, {settings = {}, ...options}: ProgramOptions = {}): Promise<Daemon> {
	return startDaemon('platform-entry', {
		entry: `entry-${index}`,
		zone: 'z',
		'listen-host': host,
		'peer-ports': `${base},${base + 1}`,
		'front-address': addressesOf.front(host, base),
		'readiness-address': addressesOf.readiness(host, base),
		'store-address': storeAddress,
		seeds,
		'metrics-port': base + 1,
		'grace-seconds': 3,
		...settings,
	}, options);
}

export async function startPlatformAgent({index, host, base, seeds, storeAddress}: Place, workerAddress: string, {settings = {}, ...options}: ProgramOptions = {}): Promise<Daemon> {
	return startDaemon('platform-agent', {
		agent: `agent-${index}`,
		'listen-host': host,
		'peer-ports': `${base},${base + 1}`,
		'announcement-address': addressesOf.announcements(host, base),
		'worker-address': workerAddress,
		seeds,
		'store-address': storeAddress,
		'maximum-hold-milliseconds': 6000,
		'metrics-port': base + 1,
		...settings,
	}, options);
}
