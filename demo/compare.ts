import {groupBy} from '#core';
import type {Comparison, Execution, CallerResult} from './types.js';

type Verdict = 'consistent' | 'lost' | 'doubled' | 'misreported';

/** Compares the callers' results with the workers' execution records. */
export function compareWithRecords(results: readonly CallerResult[], executions: readonly Execution[]): Comparison {
	const executionsById = groupBy(executions, ({id}) => id);
	const verdicts = results.map(result => ({result, verdict: classify(result, executionsById.get(result.id) ?? [])}));
	const count = (verdict: Verdict) => verdicts.filter(classified => classified.verdict === verdict).length;
	const countOutcome = (outcome: CallerResult['outcome']) => results.filter(result => result.outcome === outcome).length;
	return {
		submitted: results.length,
		completed: countOutcome('completed'),
		notRun: countOutcome('not-run'),
		unknown: countOutcome('unknown') + countOutcome('stopped'),
		lost: count('lost'),
		doubled: count('doubled'),
		misreported: count('misreported'),
		discrepancies: verdicts.filter(({verdict}) => verdict !== 'consistent').map(({result, verdict}) => `${verdict}: ${result.workClass} ${result.id} was told ${result.outcome}`),
	};
}

function classify(result: CallerResult, executions: readonly Execution[]): Verdict {
	if (result.outcome === 'none') {
		return 'lost';
	}

	if (isDoubled(result, executions)) {
		return 'doubled';
	}

	return isMisreported(result, executions) ? 'misreported' : 'consistent';
}

/** A non-idempotent request or gang member may start once, and again only from the checkpoint of its stopped run; an idempotent gang may start again, but not while an earlier attempt runs. */
function isDoubled(result: CallerResult, executions: readonly Execution[]): boolean {
	const byMember = groupBy(executions, ({member}) => member);
	return [...byMember.values()].some(runs => {
		if (!result.idempotent) {
			return hasPair(runs, (run, next) => !isContinued(run, next));
		}

		return result.workClass === 'gang' && hasPair(runs, isOverlapping);
	});
}

/** Whether any two successive runs fulfil the condition. */
function hasPair(runs: readonly Execution[], condition: (run: Execution, next: Execution) => boolean): boolean {
	const ordered = runs.toSorted((first, second) => first.startedAt - second.startedAt);
	return ordered.some((run, index) => {
		const next = ordered[index + 1];
		return next !== undefined && condition(run, next);
	});
}

function isOverlapping(run: Execution, next: Execution): boolean {
	return (run.endedAt ?? Number.POSITIVE_INFINITY) > next.startedAt;
}

function isContinued(run: Execution, next: Execution): boolean {
	return run.state === 'stopped' && run.isCheckpointed && next.isResumed && !isOverlapping(run, next);
}

function isMisreported(result: CallerResult, executions: readonly Execution[]): boolean {
	switch (result.outcome) {
		case 'completed': {
			return !result.isOwnResult || !executions.some(({state}) => state === 'succeeded' || state === 'failed');
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
