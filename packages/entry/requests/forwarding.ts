import type {
	EntryId, MonotonicTime, RegionName, ZoneName,
} from '#core';
import {createServiceKey} from '#kernel';
import type {RpcPeer} from '#transport';
import {linkUsageWindowMilliseconds} from './constants.js';

/** An entry of another zone with its open connection, and the number of workers in its zone if it has told. */
export type ForwardTarget = Readonly<{entry: EntryId; zone: ZoneName; region: RegionName; peer: RpcPeer; workers: number | undefined}>;

/** Port to the entries that a request can be forwarded to. */
export type ForwardTargets = Readonly<{list(): readonly ForwardTarget[]}>;

export const forwardTargetsService = createServiceKey<ForwardTargets>('forward-targets');

/** Bytes sent to other regions in the present window. */
export type LinkUsage = Readonly<{windowStartedAt: MonotonicTime; bytes: number}>;

export type LinkDecision = Readonly<{isAllowed: boolean; use: LinkUsage}>;

/**
Decides whether a message may go to another region, and counts its bytes if so.

The link between regions is slow and billed by volume; what forwarding may take of it is limited so that the entries' own exchange keeps its share.
*/
export function reserveLinkBytes(use: LinkUsage, {bytes, bytesPerSecond, monotonic}: Readonly<{bytes: number; bytesPerSecond: number; monotonic: MonotonicTime}>): LinkDecision {
	const isNewWindow = monotonic - use.windowStartedAt >= linkUsageWindowMilliseconds;
	const present = isNewWindow ? {windowStartedAt: monotonic, bytes: 0} : use;
	const isAllowed = present.bytes + bytes <= bytesPerSecond * (linkUsageWindowMilliseconds / 1000);
	return {isAllowed, use: isAllowed ? {...present, bytes: present.bytes + bytes} : present};
}

/** Orders targets in zones with workers: entries of the own region first, in random order within each group. */
export function orderForwardTargets(targets: readonly ForwardTarget[], own: Readonly<{zone: ZoneName; region: RegionName}>, random: () => number): readonly ForwardTarget[] {
	const rank = ({region}: ForwardTarget) => region === own.region ? 0 : 1;
	return targets
		.filter(({zone, workers}) => zone !== own.zone && workers !== 0)
		.map(target => ({target, order: rank(target) + random()}))
		.toSorted((left, right) => left.order - right.order)
		.map(({target}) => target);
}
