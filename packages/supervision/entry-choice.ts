import {hashText} from '#core';

/** An entry's address and the state of the agent's connection to it. */
export type KnownEntry = Readonly<{
	address: string;
	/** Consecutive failed connection attempts. */
	failures: number;
	isConnected: boolean;
}>;

/** One connection to the scheduler, the others to learn which entry schedules next. Connecting every agent to every entry would cost renewals for each pair. */
export const maximumConnectedEntries = 3;

/**
Chooses the entries that an agent connects to. A hash of the agent's name and the address spreads the agents over the entries.

@example
```
chooseEntries([{address: 'a:1', failures: 0, isConnected: false}], {agent: 'agent-1', scheduler: undefined});
//=> ['a:1']
```
*/
export function chooseEntries(known: readonly KnownEntry[], {agent, scheduler}: Readonly<{agent: string; scheduler: string | undefined}>): readonly string[] {
	const others = known
		.filter(({address}) => address !== scheduler)
		.map(entry => ({...entry, hash: hashText(`${agent} ${entry.address}`)}))
		.toSorted((first, second) => first.failures - second.failures
			|| Number(second.isConnected) - Number(first.isConnected)
			|| first.hash - second.hash)
		.map(({address}) => address);
	return [...(scheduler === undefined ? [] : [scheduler]), ...others].slice(0, maximumConnectedEntries);
}
