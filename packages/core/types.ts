/** Identifiers, units and small types shared by all packages. */
import * as valibot from 'valibot';

/** A number or string tagged with a unit. Untagged values are assignable to it; values of another unit are not. */
export type Unit<Base, Name extends string> = Base & {readonly unit?: Name};

/** A duration in milliseconds. */
export type Milliseconds = Unit<number, 'milliseconds'>;

/** Wall-clock time in milliseconds since the Unix epoch; comparable between processes within clock error. */
export type Timestamp = Unit<number, 'timestamp'>;

/** Monotonic time of one process in milliseconds; meaningless in any other process. */
export type MonotonicTime = Unit<number, 'monotonic'>;

/** Current time, passed to state machines as an argument. */
export type CurrentTime = Readonly<{now: Timestamp; monotonic: MonotonicTime}>;

/** A seeded generator of numbers in [0, 1). */
export type RandomSource = () => number;

const maximumNameLength = 64;

/** Names chosen by operators: letters, digits, dots, dashes and underscores. Example: `ice-bay.rosters`. */
const nameSchema = valibot.pipe(
	valibot.string(),
	valibot.maxLength(maximumNameLength, `must have at most ${maximumNameLength} characters`),
	valibot.regex(/^[A-Za-z\d][\w.-]*$/, 'must start with a letter or digit and contain only letters, digits, ".", "-" and "_"'),
);

export const planNameSchema = valibot.pipe(nameSchema, valibot.brand('PlanName'));
export type PlanName = valibot.InferOutput<typeof planNameSchema>;

export const workerIdSchema = valibot.pipe(nameSchema, valibot.brand('WorkerId'));
export type WorkerId = valibot.InferOutput<typeof workerIdSchema>;

export const entryIdSchema = valibot.pipe(nameSchema, valibot.brand('EntryId'));
export type EntryId = valibot.InferOutput<typeof entryIdSchema>;

export const regionNameSchema = valibot.pipe(nameSchema, valibot.brand('RegionName'));
export type RegionName = valibot.InferOutput<typeof regionNameSchema>;

export const zoneNameSchema = valibot.pipe(nameSchema, valibot.brand('ZoneName'));
export type ZoneName = valibot.InferOutput<typeof zoneNameSchema>;

export const rackNameSchema = valibot.pipe(nameSchema, valibot.brand('RackName'));
export type RackName = valibot.InferOutput<typeof rackNameSchema>;

/** Identifies one run of an agent process; each restart has a new one. */
export const incarnationSchema = valibot.pipe(nameSchema, valibot.brand('Incarnation'));
export type Incarnation = valibot.InferOutput<typeof incarnationSchema>;

const uuidSchema = valibot.pipe(valibot.string(), valibot.uuid('must be a UUID'), valibot.toLowerCase());

/** The caller's identifier of a request. A retry reuses the identifier. */
export const requestIdSchema = valibot.pipe(uuidSchema, valibot.brand('RequestId'));
export type RequestId = valibot.InferOutput<typeof requestIdSchema>;

/** The caller's identifier of a job. */
export const jobIdSchema = valibot.pipe(uuidSchema, valibot.brand('JobId'));
export type JobId = valibot.InferOutput<typeof jobIdSchema>;

/** Zero-based index of an accelerator within its worker. Accelerators with consecutive indices are adjacent. */
export type AcceleratorIndex = Unit<number, 'accelerator-index'>;

/** A validation error with its location in the input. */
export type Finding = Readonly<{
	/** Example: `allowances[3].guarantees[0].count` or `--listen-port`. */
	place: string;
	message: string;
}>;

/** Result of validation: the validated value, or all findings. */
export type CheckResult<Value> =
	| Readonly<{kind: 'valid'; value: Value}>
	| Readonly<{kind: 'invalid'; findings: readonly Finding[]}>;

/** Next state of a state machine and the effects to perform. */
export type Step<State, Effect> = Readonly<{state: State; effects: readonly Effect[]}>;
