import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {RandomSource} from './types.js';

/**
Creates a seeded generator of uniform numbers in [0, 1).

@example
```
const random = createRandomSource(16);
random();
```
*/
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/** Returns a uniform integer in [0, exclusiveMaximum). */
export function pickInteger(random: RandomSource, exclusiveMaximum: number): number {
	return Math.floor(random() * exclusiveMaximum);
}
