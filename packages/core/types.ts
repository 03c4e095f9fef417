/** Identifiers, units and small shared types of every package. */
import * as valibot from 'valibot';

/** A number or string with a unit. Plain literals may be assigned to it; values of another unit may not. */
export type Unit<Base, Name extends string> = Base & {readonly unit?: Name};

/** A duration in milliseconds. */
export type Milliseconds = Unit<number, 'milliseconds'>;

/** Wall-clock time in milliseconds since the Unix epoch; comparable between processes up to clock error. */
export type Timestamp = Unit<number, 'timestamp'>;

/** Monotonic time of one process in milliseconds; meaningless in any other process. */
export type MonotonicTime = Unit<number, 'monotonic'>;

/** The present time as seen by a deciding function. */
export type Present = Readonly<{now: Timestamp; monotonic: MonotonicTime}>;

/** A source of numbers in [0, 1), always seeded. */
export type RandomSource = () => number;

const maximumNameLength = 64;

/** Names that operators choose: letters, digits, dot, dash and underscore. Example: `ice-bay.rosters`. */
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

/** One run of an agent process; a restarted agent has a new one. */
export const incarnationSchema = valibot.pipe(nameSchema, valibot.brand('Incarnation'));
export type Incarnation = valibot.InferOutput<typeof incarnationSchema>;

const uuidSchema = valibot.pipe(valibot.string(), valibot.uuid('must be a UUID'), valibot.toLowerCase());

/** The caller's identifier of one request. A retry of the same request carries the same identifier. */
export const requestIdSchema = valibot.pipe(uuidSchema, valibot.brand('RequestId'));
export type RequestId = valibot.InferOutput<typeof requestIdSchema>;

/** The caller's identifier of one job. */
export const jobIdSchema = valibot.pipe(uuidSchema, valibot.brand('JobId'));
export type JobId = valibot.InferOutput<typeof jobIdSchema>;

/** Index of an accelerator within its worker, from 0. Neighbouring indexes are adjacent. */
export type AcceleratorIndex = Unit<number, 'accelerator-index'>;

/** A problem found in input, with the place where it was found. */
export type Finding = Readonly<{
	/** Example: `allowances[3].guarantees[0].count` or `--listen-port`. */
	place: string;
	message: string;
}>;

/** Result of checking input: the checked value, or every finding. */
export type CheckResult<Value> =
	| Readonly<{kind: 'valid'; value: Value}>
	| Readonly<{kind: 'invalid'; findings: readonly Finding[]}>;

/** The next state of a decision and what should be done about it. */
export type Step<State, Effect> = Readonly<{state: State; effects: readonly Effect[]}>;
