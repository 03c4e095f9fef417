import {groupBy} from '#core';
import type {Comparison, Execution, CallerResult} from './types.js';

type Verdict = 'fine' | 'lost' | 'doubled' | 'misreported';

/** Compares what callers were told with what the workers recorded. */
export function compareWithRecords(told: readonly CallerResult[], executions: readonly Execution[]): Comparison {
	const executionsById = groupBy(executions, ({id}) => id);
	const verdicts = told.map(answer => ({answer, verdict: classify(answer, executionsById.get(answer.id) ?? [])}));
	const count = (verdict: Verdict) => verdicts.filter(entry => entry.verdict === verdict).length;
	const countOutcome = (outcome: CallerResult['outcome']) => told.filter(answer => answer.outcome === outcome).length;
	return {
		submitted: told.length,
		completed: countOutcome('completed'),
		notRun: countOutcome('not-run'),
		unknown: countOutcome('unknown') + countOutcome('stopped'),
		lost: count('lost'),
		doubled: count('doubled'),
		misreported: count('misreported'),
		faults: verdicts.filter(({verdict}) => verdict !== 'fine').map(({answer, verdict}) => `${verdict}: ${answer.workClass} ${answer.id} was told ${answer.outcome}`),
	};
}

function classify(answer: CallerResult, executions: readonly Execution[]): Verdict {
	if (answer.outcome === 'none') {
		return 'lost';
	}

	if (isDoubled(answer, executions)) {
		return 'doubled';
	}

	return isMisreported(answer, executions) ? 'misreported' : 'fine';
}

/** A non-idempotent request or gang member may start once; an idempotent gang may start again, but never while an earlier attempt runs. */
function isDoubled(answer: CallerResult, executions: readonly Execution[]): boolean {
	const byMember = groupBy(executions, ({member}) => member);
	return [...byMember.values()].some(runs => {
		if (!answer.idempotent) {
			return runs.length > 1;
		}

		return answer.workClass === 'gang' && hasOverlap(runs);
	});
}

function hasOverlap(runs: readonly Execution[]): boolean {
	const inOrder = runs.toSorted((first, second) => first.startedAt - second.startedAt);
	return inOrder.some((run, index) => {
		const next = inOrder[index + 1];
		return next !== undefined && (run.endedAt ?? Number.POSITIVE_INFINITY) > next.startedAt;
	});
}

function isMisreported(answer: CallerResult, executions: readonly Execution[]): boolean {
	switch (answer.outcome) {
		case 'completed': {
			return !answer.isOwnResult || !executions.some(({state}) => state === 'succeeded' || state === 'failed');
		}

		case 'not-run': {
			return executions.length > 0;
		}

		case 'stopped': {
			return executions.length === 0;
		}

		case 'unknown':
		case 'none': {
			return false;
		}
	}
}
