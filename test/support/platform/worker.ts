/** Stand-in of a platform's worker, by its published protocol: it runs tasks under leases, announces itself, crashes, leaves and comes back. */
import {assertNever, type Milliseconds} from '#core';
import {
	sendAnnouncement, sendDeparture, type Departure, type SentAnnouncement,
} from './worker-announcements.js';
import {startIncarnation, type Incarnation, type StartRecord} from './worker-incarnation.js';
import {serveOrders, type OrderListener} from './worker-orders.js';

export type {StartRecord} from './worker-incarnation.js';

export type Restart = Readonly<{
	downMilliseconds: Milliseconds;
	/** How long the next incarnation takes orders before it announces itself. */
	silentMilliseconds?: Milliseconds;
}>;

export type PlatformWorker = Readonly<{
	address: string;
	/** Its present identifier. */
	identifier(): string;
	records(): readonly StartRecord[];
	/** Tells the agent; again and again until the worker is closed. */
	announceTo(address: string): void;
	/** Changes what the worker says of its accelerators; it does not guard them. */
	setAccelerators(accelerators: number): void;
	/** Unix time at which its incarnation started. */
	startedAt(): number;
	/** How often the worker crashed. */
	crashes(): number;
	isUp(): boolean;
	/** Ends like a killed process and starts again under the same identifier, with nothing of before. */
	crash(restart: Restart): void;
	/** Announces that it leaves; it goes on until `depart`. */
	drain(remainingMilliseconds: Milliseconds): void;
	/** Reports its departure and ends, with everything that runs there. */
	depart(departure: Departure): Promise<void>;
	/** Starts again after it left, under the same identifier unless another is given. */
	comeBack(identifier?: string): Promise<void>;
	/** Sends a message of the incarnation before, which was under way until now; returns whether it was acknowledged. */
	deliverLate(message: 'announcement' | 'departure'): Promise<boolean>;
}> & Pick<OrderListener, 'delayOrders' | 'answerOrders' | 'lateOrders' | 'carryOutLateOrders' | 'close'>;

export type PlatformWorkerOptions = Readonly<{
	host: string;
	id: string;
	rack: string;
	service: string;
	zone?: string;
	workMilliseconds: Milliseconds;
	maximumHoldMilliseconds?: Milliseconds;
	failsAll?: boolean;
	/** A start of such a task crashes the worker. Until then the task makes no progress, however late the crash is on a busy machine. */
	crashesOn?: (task: string) => boolean;
	/** How long after the answer to the start the worker crashes. */
	crashDelayMilliseconds?: Milliseconds;
	/** Whether the start is answered before the worker crashes. */
	answersBeforeCrash?: boolean;
	/** How it starts again after such a crash. */
	restart?: Restart;
}>;

type Presence =
	| Readonly<{kind: 'up'; incarnation: Incarnation}>
	| Readonly<{kind: 'down'}>;

export async function servePlatformWorker({
	host, id, rack, service, zone = 'z', workMilliseconds, maximumHoldMilliseconds = defaultMaximumHoldMilliseconds, failsAll = false,
	crashesOn = () => false, crashDelayMilliseconds = defaultCrashDelayMilliseconds, answersBeforeCrash = true, restart = defaultRestart,
}: PlatformWorkerOptions): Promise<PlatformWorker> {
	const records: StartRecord[] = [];
	let identifier = id;
	let accelerators = 8;
	let crashCount = 0;
	let sequence = 0;
	let drainsUntil: number | undefined;
	let isSilent = false;
	let agent: string | undefined;
	let earlier: SentAnnouncement | undefined;
	let restartTimer: NodeJS.Timeout | undefined;
	let beat: NodeJS.Timeout | undefined;
	let isClosed = false;

	const begin = (uptimeMilliseconds: Milliseconds): Presence => ({
		kind: 'up',
		incarnation: startIncarnation({
			worker: identifier, born: Date.now() - uptimeMilliseconds, workMilliseconds, maximumHoldMilliseconds, stopMilliseconds, failsAll, makesNoProgress: crashesOn,
			addRecord(record) {
				records.push(record);
			},
		}),
	});
	let presence = begin(initialUptimeMilliseconds);
	let born = Date.now() - initialUptimeMilliseconds;

	const describe = (incarnation: Incarnation): SentAnnouncement => ({
		identifier,
		body: {
			service,
			address: listener.address,
			zone,
			version: 'v1',
			slots: 8,
			state: drainsUntil === undefined ? 'ready' : 'draining',
			cold_remaining_ms: 0,
			capacity: {cpu: 128_000, mem_mb: 262_144, gpus: accelerators},
			labels: ['a', rack],
			clock_ms: incarnation.clock(),
			seq_no: ++sequence,
			born: incarnation.born,
			...(drainsUntil === undefined ? {} : {drain_remaining_ms: Math.max(0, drainsUntil - Date.now())}),
		},
	});

	const end = (ending: 'crashed' | 'left') => {
		if (presence.kind === 'up') {
			earlier = describe(presence.incarnation);
			presence.incarnation.end(ending);
		}

		presence = {kind: 'down'};
		listener.goDown();
	};

	const start = async (silentMilliseconds: Milliseconds) => {
		sequence = 0;
		drainsUntil = undefined;
		isSilent = silentMilliseconds > 0;
		presence = begin(0);
		born = presence.kind === 'up' ? presence.incarnation.born : born;
		await listener.comeUp();
		clearTimeout(restartTimer);
		restartTimer = setTimeout(() => {
			isSilent = false;
			void announce();
		}, silentMilliseconds);
	};

	const crash = ({downMilliseconds, silentMilliseconds = 0}: Restart) => {
		if (presence.kind === 'down') {
			return;
		}

		crashCount++;
		end('crashed');
		clearTimeout(restartTimer);
		restartTimer = setTimeout(() => {
			void start(silentMilliseconds);
		}, downMilliseconds);
	};

	const announce = async () => {
		clearTimeout(beat);
		if (agent !== undefined && presence.kind === 'up' && !isSilent) {
			await sendAnnouncement(agent, describe(presence.incarnation));
		}

		if (!isClosed) {
			clearTimeout(beat);
			beat = setTimeout(() => {
				void announce();
			}, beatMilliseconds);
		}
	};

	const reportDeparture = async (leaving: string) => agent !== undefined && sendDeparture(agent, leaving);

	const reportUntilConfirmed = async (until: number) => {
		const isConfirmed = await reportDeparture(identifier);
		if (!isConfirmed && Date.now() < until) {
			await wait(beatMilliseconds);
			await reportUntilConfirmed(until);
		}
	};

	const listener = await serveOrders(host, {
		identifier: () => identifier,
		incarnation: () => presence.kind === 'up' ? presence.incarnation : undefined,
		crashesAt({task}) {
			if (!crashesOn(String(task))) {
				return false;
			}

			if (answersBeforeCrash) {
				setTimeout(crash, crashDelayMilliseconds, restart);
			} else {
				crash(restart);
			}

			return !answersBeforeCrash;
		},
	});
	return {
		...listener,
		identifier: () => identifier,
		records: () => records,
		announceTo(address) {
			agent = address;
			void announce();
		},
		setAccelerators(next) {
			accelerators = next;
		},
		startedAt: () => born,
		crashes: () => crashCount,
		isUp: () => presence.kind === 'up',
		crash,
		drain(remainingMilliseconds) {
			drainsUntil = Date.now() + remainingMilliseconds;
			void announce();
		},
		async depart(departure) {
			isSilent = true;
			const endsAt = Date.now() + departure.endsAfter;
			switch (departure.kind) {
				case 'confirmed': {
					await reportUntilConfirmed(endsAt);
					break;
				}

				case 'confirmation-lost': {
					await reportDeparture(identifier);
					await wait(Math.max(0, endsAt - Date.now()));
					break;
				}

				case 'report-delayed': {
					await wait(departure.endsAfter);
					break;
				}

				default: {
					assertNever(departure);
				}
			}

			end('left');
		},
		async comeBack(next = identifier) {
			identifier = next;
			await start(0);
		},
		async deliverLate(message) {
			if (agent === undefined || earlier === undefined) {
				return false;
			}

			return message === 'announcement' ? sendAnnouncement(agent, earlier) : reportDeparture(earlier.identifier);
		},
		async close() {
			isClosed = true;
			clearTimeout(beat);
			clearTimeout(restartTimer);
			if (presence.kind === 'up') {
				presence.incarnation.end('left');
			}

			await listener.close();
		},
	};
}

/** The first incarnation has run for long, so that times on its clock lie far ahead of the clock of the next one. */
const initialUptimeMilliseconds = 600_000;
const defaultMaximumHoldMilliseconds = 6000;
const stopMilliseconds = 200;
const beatMilliseconds = 300;
const defaultCrashDelayMilliseconds = 10;
const defaultRestart: Restart = {downMilliseconds: 800};

async function wait(milliseconds: Milliseconds): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
