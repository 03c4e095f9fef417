import type {CoordinatorSettings} from './settings.js';

/** Address (host:port) at which agents and other entries reach this entry. */
export function peerAddressOf({'listen-host': host, 'peer-ports': [port]}: CoordinatorSettings): string {
	return `${host}:${port ?? 0}`;
}
