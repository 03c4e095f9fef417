import type {RandomSource} from '#core';
import type {Clock} from '#kernel';
import type {KeyValueStore} from '#store';

/** What the command line needs from its process. */
export type CommandLineEnvironment = Readonly<{
	environment: Readonly<Record<string, string | undefined>>;
	clock: Clock;
	random: RandomSource;
	/** Author of changes unless a flag names another. */
	userName: string;
	createIdentifier(): string;
	print(text: string): void;
	printError(text: string): void;
	readFile(path: string): Promise<string>;
}>;

/** The context that every command receives. */
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
