/** Gives every host:port another port. Seeds are known by an address of theirs, and the port for peers is the same on all machines. */
export function replacePort(addresses: readonly string[], port: number): readonly string[] {
	return addresses.map(address => `${address.slice(0, address.lastIndexOf(':'))}:${port}`);
}
