import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry as MetricRegistry} from 'prom-client';
import {histogramSignificantDigits, maximumLatencyMilliseconds} from './constants.js';
import type {Counters} from './types.js';

const quantiles = [50, 90, 99, 99.9] as const;

/** Creates the metrics of one program. */
export function createCounters(): Counters {
	const registry = new MetricRegistry();
	const registers = [registry];
	const refusals = new Counter({
		name: 'dotterelnotch_refusals_total', help: 'Refusals by reason.', labelNames: ['reason'], registers,
	});
	const retries = new Counter({
		name: 'dotterelnotch_retries_total', help: 'Retries by reason.', labelNames: ['reason'], registers,
	});
	const events = new Counter({
		name: 'dotterelnotch_events_total', help: 'Other events by name.', labelNames: ['event'], registers,
	});
	const gauges = new Gauge({
		name: 'dotterelnotch_value', help: 'Present values by name.', labelNames: ['name'], registers,
	});
	const latency = new Gauge({
		name: 'dotterelnotch_latency_milliseconds', help: 'Latency quantiles by operation.', labelNames: ['operation', 'quantile'], registers,
	});
	const histograms = new Map<string, Histogram>();

	return {
		countRefusal(reason) {
			refusals.inc({reason});
		},
		countRetry(reason) {
			retries.inc({reason});
		},
		countEvent(event, amount = 1) {
			events.inc({event}, amount);
		},
		recordLatency(name, duration) {
			const histogram = histograms.get(name) ?? createLatencyHistogram();
			histograms.set(name, histogram);
			histogram.recordValue(Math.min(Math.max(Math.round(duration), 0), maximumLatencyMilliseconds));
		},
		setGauge(name, value) {
			gauges.set({name}, value);
		},
		async exposition() {
			for (const [operation, histogram] of histograms) {
				for (const quantile of quantiles) {
					latency.set({operation, quantile: String(quantile / 100)}, histogram.getValueAtPercentile(quantile));
				}
			}

			return registry.metrics();
		},
	};
}

/** Creates a histogram of integer milliseconds with an upper bound of one hour. */
export function createLatencyHistogram(): Histogram {
	return buildHistogram({
		lowestDiscernibleValue: 1,
		highestTrackableValue: maximumLatencyMilliseconds,
		numberOfSignificantValueDigits: histogramSignificantDigits,
	});
}
