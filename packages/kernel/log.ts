import bunyan from 'bunyan';
import {maximumLogLinesPerSecond} from './constants.js';
import {createLogOutput} from './log-output.js';

const standardOutput = 1;

export type Logger = Readonly<{
	debug(fields: Readonly<Record<string, unknown>>, message: string): void;
	info(fields: Readonly<Record<string, unknown>>, message: string): void;
	warn(fields: Readonly<Record<string, unknown>>, message: string): void;
	error(fields: Readonly<Record<string, unknown>>, message: string): void;
}>;

export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = typeof logLevels[number];

/** The log of one program; each part of it writes with its own prefix. */
export type ProgramLog = Readonly<{
	/** Example: `part('routing').info({worker}, 'worker ejected')` writes `routing: worker ejected`. */
	withPrefix(prefix: string): Logger;
	setLevel(level: LogLevel): void;
}>;

/** Creates the log of a program as JSON lines on standard output; lines over the rate that the program may write are counted and left out. */
export function createProgramLog(program: string, level: LogLevel, fields: Readonly<Record<string, unknown>> = {}): ProgramLog {
	const output = createLogOutput(standardOutput, maximumLogLinesPerSecond, Date.now);
	const logger = bunyan.createLogger({
		name: program, level, stream: output as unknown as NodeJS.WritableStream, ...fields,
	});
	return {
		withPrefix: prefix => ({
			debug(record, message) {
				logger.debug(record, `${prefix}: ${message}`);
			},
			info(record, message) {
				logger.info(record, `${prefix}: ${message}`);
			},
			warn(record, message) {
				logger.warn(record, `${prefix}: ${message}`);
			},
			error(record, message) {
				logger.error(record, `${prefix}: ${message}`);
			},
		}),
		setLevel(next) {
			logger.level(next);
		},
	};
}

const ignore = () => undefined;

/** A log that writes nothing; for tests and benchmarks. */
export const silentLog: ProgramLog = {
	withPrefix: () => ({
		debug: ignore, info: ignore, warn: ignore, error: ignore,
	}),
	setLevel: ignore,
};
