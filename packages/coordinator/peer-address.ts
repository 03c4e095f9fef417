import type {CoordinatorSettings} from './settings.js';

/** Host:port where agents and other entries reach this entry. */
export function peerAddressOf({'listen-host': host, 'peer-ports': [port]}: CoordinatorSettings): string {
	return `${host}:${port ?? 0}`;
}
