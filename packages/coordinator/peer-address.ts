import type {CoordinatorSettings} from './settings.js';

/** Host:port where agents and other entries reach this entry. */
export function peerAddressOf({'listen-host': host, 'peer-ports': [port]}: CoordinatorSettings): string {
	return `${host}:${port ?? 0}`;
}

/** Peer addresses of the seeds. Only their hosts are known; the port is the same on all machines. */
export function seedAddressesOf({seeds, 'peer-ports': [port]}: Pick<CoordinatorSettings, 'seeds' | 'peer-ports'>): readonly string[] {
	return seeds.map(seed => `${seed.slice(0, seed.lastIndexOf(':'))}:${port ?? 0}`);
}
