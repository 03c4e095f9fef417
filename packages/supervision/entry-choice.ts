import {hashText} from '#core';

/** An address of an entry, as an agent knows it. */
export type KnownEntry = Readonly<{
	address: string;
	/** Attempts to connect that failed, in a row. */
	failures: number;
	isConnected: boolean;
}>;

/** Connections that an agent keeps: one to the scheduler, the others to learn who schedules next. More would cost messages for each pair of agent and entry. */
export const maximumConnectedEntries = 3;

/**
Chooses the entries that an agent keeps connections to. Agents spread over the entries by their names.

@example
```
chooseEntries([{address: 'a:1', failures: 0, isConnected: false}], {agent: 'agent-1', scheduler: undefined});
//=> ['a:1']
```
*/
export function chooseEntries(known: readonly KnownEntry[], {agent, scheduler}: Readonly<{agent: string; scheduler: string | undefined}>): readonly string[] {
	const others = known
		.filter(({address}) => address !== scheduler)
		.map(entry => ({...entry, place: hashText(`${agent} ${entry.address}`)}))
		.toSorted((first, second) => first.failures - second.failures
			|| Number(second.isConnected) - Number(first.isConnected)
			|| first.place - second.place)
		.map(({address}) => address);
	return [...(scheduler === undefined ? [] : [scheduler]), ...others].slice(0, maximumConnectedEntries);
}
