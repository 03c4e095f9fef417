import bunyan from 'bunyan';
import {maximumLogLinesPerSecond} from './constants.js';
import {createLogOutput} from './log-output.js';

const stdoutDescriptor = 1;

export type Logger = Readonly<{
	debug(fields: Readonly<Record<string, unknown>>, message: string): void;
	info(fields: Readonly<Record<string, unknown>>, message: string): void;
	warn(fields: Readonly<Record<string, unknown>>, message: string): void;
	error(fields: Readonly<Record<string, unknown>>, message: string): void;
}>;

export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = typeof logLevels[number];

/** Log of one program. Each component logs with its own prefix. */
export type ProgramLog = Readonly<{
	/** Example: `withPrefix('routing').info({worker}, 'worker ejected')` writes `routing: worker ejected`. */
	withPrefix(prefix: string): Logger;
	setLevel(level: LogLevel): void;
}>;

/** Creates a log that writes JSON lines to standard output. Lines above the rate limit are dropped and counted. */
export function createProgramLog(program: string, level: LogLevel, fields: Readonly<Record<string, unknown>> = {}): ProgramLog {
	const output = createLogOutput(stdoutDescriptor, maximumLogLinesPerSecond, Date.now);
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
		setLevel(newLevel) {
			logger.level(newLevel);
		},
	};
}

const discard = () => undefined;

/** A log that discards all lines; for tests and benchmarks. */
export const silentLog: ProgramLog = {
	withPrefix: () => ({
		debug: discard, info: discard, warn: discard, error: discard,
	}),
	setLevel: discard,
};
