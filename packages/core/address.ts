import * as valibot from 'valibot';

const maximumPort = 65_535;

/** An address of the form `host:port`. */
export const addressSchema = valibot.pipe(
	valibot.string(),
	valibot.regex(/^[^\s:/?#@]+:\d{1,5}$/, 'must be host:port'),
	valibot.check(address => {
		const port = Number(address.slice(address.lastIndexOf(':') + 1));
		return port > 0 && port <= maximumPort;
	}, `must have a port from 1 to ${maximumPort}`),
);
