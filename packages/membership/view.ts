import {
	assertNever, type Incarnation, type MonotonicTime, type Step, type WorkerId,
} from '#core';
import {probeAfterMilliseconds, maximumReplacedIncarnations, staleAfterMilliseconds} from './constants.js';
import type {
	AgentView, MembershipEffect, MembershipMessage, MembershipState,
} from './types.js';

type MembershipStep = Step<MembershipState, MembershipEffect>;

export const initialMembershipState: MembershipState = {
	agents: new Map(), available: [], replaced: new Map(), removed: new Map(),
};

/** Maintains the view of the agents that announced themselves to this entry. */
export function receiveMembershipMessage(state: MembershipState, message: MembershipMessage, {monotonic}: Readonly<{monotonic: MonotonicTime}>): MembershipStep {
	switch (message.kind) {
		case 'announced': {
			return applyAnnouncement(state, message.agent, monotonic);
		}

		case 'reported': {
			return updateAgent(state, message, agent => ({
				...agent,
				load: message.load,
				holdings: message.holdings ?? agent.holdings,
				configurationRevision: message.configurationRevision,
				layoutRevision: message.layoutRevision,
				reportedAt: monotonic,
			}));
		}

		case 'leaving': {
			return updateAgent(state, message, agent => ({...agent, isLeaving: true}));
		}

		case 'probe-failed':
		case 'disconnected': {
			if (state.agents.get(message.worker)?.incarnation !== message.incarnation) {
				return {state, effects: []};
			}

			const agents = new Map(state.agents);
			agents.delete(message.worker);
			return {state: withAgents({...state, removed: new Map(state.removed).set(message.worker, message.incarnation)}, agents), effects: []};
		}

		case 'tick': {
			return tick(state, monotonic);
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Whether the agent may get new work: it is not leaving and its latest report is not stale. */
export function isAvailable(agent: AgentView, monotonic: MonotonicTime): boolean {
	return !agent.isLeaving && monotonic - agent.reportedAt < staleAfterMilliseconds;
}

/** Adds or updates an agent. An announcement of a replaced incarnation is ignored. */
function applyAnnouncement(state: MembershipState, announced: Omit<AgentView, 'reportedAt' | 'joinedAt'>, monotonic: MonotonicTime): MembershipStep {
	const {worker, incarnation} = announced;
	if (state.replaced.get(worker)?.includes(incarnation) === true) {
		return {state, effects: []};
	}

	const known = state.agents.get(worker);
	const isSameIncarnation = known?.incarnation === incarnation;
	// A restarted agent announces itself while the earlier one, which is leaving, may reconnect.
	if (known !== undefined && !isSameIncarnation && announced.isLeaving && !known.isLeaving) {
		return {state: addReplaced(state, worker, incarnation), effects: []};
	}

	const agent: AgentView = {
		...announced,
		// Leaving is final for an incarnation; an announcement sent earlier may arrive after it.
		isLeaving: announced.isLeaving || (isSameIncarnation && known.isLeaving),
		joinedAt: isSameIncarnation ? known.joinedAt : monotonic,
		reportedAt: monotonic,
	};
	const next = withAgents(state, new Map(state.agents).set(worker, agent));
	const previous = known?.incarnation ?? state.removed.get(worker);
	return {
		state: previous === undefined || previous === incarnation ? next : addReplaced(next, worker, previous),
		effects: [],
	};
}

function addReplaced(state: MembershipState, worker: WorkerId, incarnation: Incarnation): MembershipState {
	const replaced = [...(state.replaced.get(worker) ?? []), incarnation].slice(-maximumReplacedIncarnations);
	return {...state, replaced: new Map(state.replaced).set(worker, replaced)};
}

function withAgents(state: MembershipState, agents: ReadonlyMap<WorkerId, AgentView>): MembershipState {
	return {...state, agents, available: [...agents.values()].filter(agent => !agent.isLeaving)};
}

/** Updates an agent; late messages of an earlier incarnation are ignored. */
function updateAgent(state: MembershipState, {worker, incarnation}: Readonly<{worker: WorkerId; incarnation: Incarnation}>, update: (agent: AgentView) => AgentView): MembershipStep {
	const known = state.agents.get(worker);
	return known?.incarnation === incarnation
		? {state: withAgents(state, new Map(state.agents).set(worker, update(known))), effects: []}
		: {state, effects: []};
}

function tick(state: MembershipState, monotonic: MonotonicTime): MembershipStep {
	const effects = [...state.agents.values()]
		.filter(({reportedAt}) => monotonic - reportedAt >= probeAfterMilliseconds)
		.map(({worker, incarnation}): MembershipEffect => ({kind: 'probe', worker, incarnation}));
	return {state, effects};
}
