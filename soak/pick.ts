import {pickInteger, type RandomSource} from '#core';

export function pick<Value>(values: readonly [Value, ...Value[]], random: RandomSource): Value {
	return values[pickInteger(random, values.length)] ?? values[0];
}
