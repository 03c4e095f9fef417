import {assertNever, type MonotonicTime, type Step} from '#core';
import type {AgentView, MembershipMessage, MembershipState} from './types.js';

export const initialMembershipState: MembershipState = {agents: new Map()};

/** Keeps the view of the agents that announced themselves to this entry. */
export function receiveMembershipMessage(state: MembershipState, message: MembershipMessage, {monotonic}: Readonly<{monotonic: MonotonicTime}>): Step<MembershipState, never> {
	switch (message.kind) {
		case 'announced': {
			const known = state.agents.get(message.agent.worker);
			const joinedAt = known?.incarnation === message.agent.incarnation ? known.joinedAt : monotonic;
			return replaceAgent(state, {...message.agent, joinedAt, reportedAt: monotonic});
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

		case 'disconnected': {
			const known = state.agents.get(message.worker);
			if (known?.incarnation !== message.incarnation) {
				return {state, effects: []};
			}

			const agents = new Map(state.agents);
			agents.delete(message.worker);
			return {state: {agents}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

function replaceAgent(state: MembershipState, agent: AgentView): Step<MembershipState, never> {
	return {state: {agents: new Map(state.agents).set(agent.worker, agent)}, effects: []};
}

/** Ignores messages of an earlier incarnation that arrive late. */
function updateAgent(
	state: MembershipState,
	{worker, incarnation}: Readonly<Pick<AgentView, 'worker' | 'incarnation'>>,
	update: (agent: AgentView) => AgentView,
): Step<MembershipState, never> {
	const known = state.agents.get(worker);
	return known?.incarnation === incarnation ? replaceAgent(state, update(known)) : {state, effects: []};
}
