/** Replaces the port of each `host:port`. Only the hosts of configured seeds are used; their peer port is the same on all machines. */
export function replacePort(addresses: readonly string[], port: number): readonly string[] {
	return addresses.map(address => `${address.slice(0, address.lastIndexOf(':'))}:${port}`);
}
