import {readFile} from 'node:fs/promises';
import {randomInt} from 'node:crypto';
import {userInfo} from 'node:os';
import process from 'node:process';
import {v7 as createUuid} from 'uuid';
import {runCommandLine, BadInputError} from '#command-line';
import {createRandomSource} from '#core';
import {systemClock} from '#kernel';

const seedLimit = 2 ** 32;

process.exitCode = await runCommandLine(process.argv.slice(2), {
	environment: process.env,
	clock: systemClock,
	random: createRandomSource(randomInt(seedLimit)),
	userName: findUserName(),
	createIdentifier: createUuid,
	print(text) {
		process.stdout.write(`${text}\n`);
	},
	printError(text) {
		process.stderr.write(`${text}\n`);
	},
	async readFile(path) {
		try {
			return await readFile(path, 'utf8');
		} catch (error) {
			throw new BadInputError([`${path}: cannot be read (${(error as NodeJS.ErrnoException).code ?? 'unknown error'})`]);
		}
	},
});

/** Falls back to `unknown`: some virtual machines have accounts without a name, which must not prevent a change. */
function findUserName(): string {
	try {
		return userInfo().username;
	} catch {
		return 'unknown';
	}
}
