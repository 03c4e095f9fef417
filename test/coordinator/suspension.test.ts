import {expect} from 'chai';
import {createSuspensionGuard} from '#coordinator';

type Case = Readonly<{name: string; now: number; monotonic: number; validUntil: number; isConfirmed: boolean}>;

const cases: readonly Case[] = [
	{
		name: 'both clocks run on', now: 2000, monotonic: 2000, validUntil: 3000, isConfirmed: true,
	},
	{
		name: 'the machine was suspended, and the lease is from before (orders of a scheduler that was replaced)', now: 8000, monotonic: 2000, validUntil: 3000, isConfirmed: false,
	},
	{
		name: 'the time of day was set back', now: 500, monotonic: 2000, validUntil: 3000, isConfirmed: true,
	},
];

describe('guard against suspended machines', () => {
	for (const {
		name, now, monotonic, validUntil, isConfirmed,
	} of cases) {
		it(name, () => {
			const present = {now: 1000, monotonic: 1000};
			const guard = createSuspensionGuard({now: () => present.now, monotonic: () => present.monotonic, schedule: () => () => undefined});
			expect(guard.isConfirmed(validUntil)).to.equal(true);
			Object.assign(present, {now, monotonic});
			expect(guard.isConfirmed(validUntil)).to.equal(isConfirmed);
			expect(guard.isConfirmed(validUntil + 1000)).to.equal(true);
		});
	}
});
