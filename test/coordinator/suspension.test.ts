import {expect} from 'chai';
import {createSuspensionGuard} from '#coordinator';

type Case = Readonly<{name: string; now: number; monotonic: number; validUntil: number; isConfirmed: boolean}>;

const cases: readonly Case[] = [
	{
		name: 'a confirmation stays valid while both clocks advance (scheduler that steps down for no reason)', now: 2000, monotonic: 2000, validUntil: 3000, isConfirmed: true,
	},
	{
		name: 'a confirmation from before a suspension is void (orders of a replaced scheduler)', now: 8000, monotonic: 2000, validUntil: 3000, isConfirmed: false,
	},
	{
		name: 'a wall clock that is set back is no suspension (scheduler that steps down for no reason)', now: 500, monotonic: 2000, validUntil: 3000, isConfirmed: true,
	},
	{
		name: 'a confirmation that ran out while the process was paused is void (orders of a replaced scheduler)', now: 3500, monotonic: 3500, validUntil: 3000, isConfirmed: false,
	},
];

describe('suspension guard', () => {
	for (const {
		name, now, monotonic, validUntil, isConfirmed,
	} of cases) {
		it(name, () => {
			const time = {now: 1000, monotonic: 1000};
			const guard = createSuspensionGuard({now: () => time.now, monotonic: () => time.monotonic, schedule: () => () => undefined});
			expect(guard.isConfirmed({requestedAt: 900, validUntil})).to.equal(true);
			Object.assign(time, {now, monotonic});
			expect(guard.isConfirmed({requestedAt: 900, validUntil})).to.equal(isConfirmed);
			// Requested before, and answered only now.
			expect(guard.isConfirmed({requestedAt: 1000, validUntil: validUntil + 500})).to.equal(isConfirmed);
			expect(guard.isConfirmed({requestedAt: monotonic + 1, validUntil: validUntil + 1000})).to.equal(true);
		});
	}

	it('a confirmation that ran out while the process went on still counts (scheduler that gives up in every outage of the store)', () => {
		const time = {now: 1000, monotonic: 1000};
		const guard = createSuspensionGuard({now: () => time.now, monotonic: () => time.monotonic, schedule: () => () => undefined});
		for (let elapsed = 0; elapsed < 3000; elapsed += 250) {
			expect(guard.isConfirmed({requestedAt: 900, validUntil: 2000})).to.equal(true);
			Object.assign(time, {now: time.now + 250, monotonic: time.monotonic + 250});
		}
	});
});
