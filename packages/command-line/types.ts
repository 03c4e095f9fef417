import type {RandomSource} from '#core';
import type {Clock} from '#kernel';
import type {KeyValueStore} from '#store';

/** What a command line runs in. */
export type CommandLineEnvironment = Readonly<{
	environment: Readonly<Record<string, string | undefined>>;
	clock: Clock;
	random: RandomSource;
	/** Name that changes are recorded under unless a flag says otherwise. */
	userName: string;
	createIdentifier(): string;
	print(text: string): void;
	printError(text: string): void;
	readFile(path: string): Promise<string>;
}>;

/** What the commands share. */
export type CommandContext = CommandLineEnvironment & Readonly<{
	/** Whether output is JSON for programs instead of tables. */
	isJson: boolean;
	/** Whether an entry was named. */
	hasEntry: boolean;
	/** @throws {BadInputError} if no store was named. */
	useStore(): KeyValueStore;
	/** @throws {BadInputError} if no entry was named. */
	useEntryOrigin(): string;
}>;
