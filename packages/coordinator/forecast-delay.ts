import type {Milliseconds} from '#core';
import {forecastIntervalFactor, forecastIntervalMilliseconds, maximumForecastIntervalMilliseconds} from './constants.js';

/** Delay before the next forecast: the longer the last one took, the longer the others have the processor afterwards. */
export function chooseForecastDelay(duration: Milliseconds): Milliseconds {
	return Math.min(maximumForecastIntervalMilliseconds, Math.max(forecastIntervalMilliseconds, duration * forecastIntervalFactor));
}
