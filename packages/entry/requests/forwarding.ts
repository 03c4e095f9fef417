import type {
	EntryId, MonotonicTime, RegionName, ZoneName,
} from '#core';
import {createServiceKey} from '#kernel';
import type {RpcPeer} from '#transport';
import {linkUsageWindowMilliseconds} from './constants.js';

/** Another entry with its connection, and the number of workers in its zone if it has reported it. */
export type ForwardTarget = Readonly<{entry: EntryId; zone: ZoneName; region: RegionName; peer: RpcPeer; workers: number | undefined}>;

/** Lists the entries that a request can be forwarded to. */
export type ForwardTargets = Readonly<{list(): readonly ForwardTarget[]}>;

export const forwardTargetsService = createServiceKey<ForwardTargets>('forward-targets');

/** Bytes of forwarded requests and of their answers on the link between regions, in the current window. */
export type LinkUsage = Readonly<{windowStartedAt: MonotonicTime; bytes: number}>;

export type LinkDecision = Readonly<{isAllowed: boolean; usage: LinkUsage}>;

/**
Decides whether a message may be sent to another region, and counts its bytes if so.

The link between regions is slow and billed by volume. Forwarding is limited so that bandwidth remains for the exchange between entries.
*/
export function reserveLinkBytes(usage: LinkUsage, {bytes, bytesPerSecond, monotonic}: Readonly<{bytes: number; bytesPerSecond: number; monotonic: MonotonicTime}>): LinkDecision {
	const isNewWindow = monotonic - usage.windowStartedAt >= linkUsageWindowMilliseconds;
	const current = isNewWindow ? {windowStartedAt: monotonic, bytes: 0} : usage;
	const isAllowed = current.bytes + bytes <= bytesPerSecond * (linkUsageWindowMilliseconds / 1000);
	return {isAllowed, usage: isAllowed ? {...current, bytes: current.bytes + bytes} : current};
}

/** Orders the targets in other zones, without those that report no workers: entries of the same region first, in random order within each group. */
export function orderForwardTargets(targets: readonly ForwardTarget[], local: Readonly<{zone: ZoneName; region: RegionName}>, random: () => number): readonly ForwardTarget[] {
	const rank = ({region}: ForwardTarget) => region === local.region ? 0 : 1;
	return targets
		.filter(({zone, workers}) => zone !== local.zone && workers !== 0)
		.map(target => ({target, order: rank(target) + random()}))
		.toSorted((left, right) => left.order - right.order)
		.map(({target}) => target);
}
