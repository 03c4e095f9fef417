import * as valibot from 'valibot';
import {checkInput, type CheckResult, type Finding} from '#core';
import {maximumConfigurationBytes} from './constants.js';
import {
	allowanceSchema, listsSchema, type planSchema, type Allowance, type Guarantee, type Lists,
} from './types.js';

/** A list element that passed its own schema, with its index in the list. */
type Indexed<Value> = Readonly<{index: number; value: Value}>;

/**
Validates the two lists as operators wrote them: each field, and the consistency between the lists. Returns all findings at once, each with its place.

@example
```
validateLists({plans: [{name: 'rosters'}], allowances: []});
//=> {kind: 'invalid', findings: [{place: 'plans[0].name', message: 'plan "rosters" has no allowance'}]}
```
*/
export function validateLists(input: unknown): CheckResult<Lists> {
	const checked = checkInput(listsSchema, input, 'lists');
	const findings = [
		...(checked.kind === 'invalid' ? checked.findings : []),
		...findInconsistencies(input),
		...findOversize(input),
	];
	return checked.kind === 'valid' && findings.length === 0 ? checked : {kind: 'invalid', findings};
}

/** Checks consistency between elements; skips elements that are not valid by themselves. */
function findInconsistencies(input: unknown): readonly Finding[] {
	const planNames = elementsOf(input, 'plans').map(element => nameOf(element, 'name'));
	const allowancePlans = elementsOf(input, 'allowances').map(element => nameOf(element, 'plan'));
	const allowances = validElements(elementsOf(input, 'allowances'), allowanceSchema);
	return [
		...findDuplicates(planNames, index => `plans[${index}].name`),
		...findDuplicates(allowancePlans, index => `allowances[${index}].plan`),
		...planNames.flatMap((name, index) => name === undefined || allowancePlans.includes(name)
			? []
			: [{place: `plans[${index}].name`, message: `plan "${name}" has no allowance`}]),
		...allowancePlans.flatMap((plan, index) => plan === undefined || planNames.includes(plan)
			? []
			: [{place: `allowances[${index}].plan`, message: `plan "${plan}" is not in the list of plans`}]),
		...allowances.flatMap(findInAllowance),
	];
}

function elementsOf(input: unknown, list: keyof Lists): readonly unknown[] {
	const elements: unknown = typeof input === 'object' && input !== null ? (input as Partial<Record<keyof Lists, unknown>>)[list] : undefined;
	return Array.isArray(elements) ? elements : [];
}

function nameOf(element: unknown, field: string): string | undefined {
	const name: unknown = typeof element === 'object' && element !== null ? (element as Readonly<Record<string, unknown>>)[field] : undefined;
	return typeof name === 'string' ? name : undefined;
}

function validElements<Schema extends typeof planSchema | typeof allowanceSchema>(elements: readonly unknown[], schema: Schema): ReadonlyArray<Indexed<valibot.InferOutput<Schema>>> {
	return elements.flatMap((element, index) => {
		const result = valibot.safeParse(schema, element);
		return result.success ? [{index, value: result.output}] : [];
	});
}

function findDuplicates(names: ReadonlyArray<string | undefined>, placeOf: (index: number) => string): readonly Finding[] {
	const firstIndexes = new Map<string, number>();
	const findings: Finding[] = [];
	for (const [index, name] of names.entries()) {
		if (name === undefined) {
			continue;
		}

		const firstIndex = firstIndexes.get(name);
		if (firstIndex === undefined) {
			firstIndexes.set(name, index);
		} else {
			findings.push({place: placeOf(index), message: `"${name}" is also at ${placeOf(firstIndex)}`});
		}
	}

	return findings;
}

function findInAllowance({index, value}: Indexed<Allowance>): readonly Finding[] {
	const place = `allowances[${index}]`;
	const guaranteed = countGuaranteed(value.guarantees);
	const excessFindings: readonly Finding[] = guaranteed > value.maximumAccelerators
		? [{place: `${place}.maximumAccelerators`, message: `is ${value.maximumAccelerators}, but the guarantees add up to ${guaranteed} accelerators`}]
		: [];
	return [...excessFindings, ...findDuplicates(value.guarantees.map(shapeOf), guarantee => `${place}.guarantees[${guarantee}]`)];
}

/** Sums the accelerators of all guarantees. */
export function countGuaranteed(guarantees: readonly Guarantee[]): number {
	return guarantees.reduce((sum, {accelerators, count}) => sum + (accelerators * count), 0);
}

/** Describes the shape of a guarantee without its count. */
export function shapeOf({zone, adjacency, accelerators}: Guarantee): string {
	return `${accelerators} accelerators in one ${adjacency} of ${zone}`;
}

function findOversize(input: unknown): readonly Finding[] {
	const bytes = new TextEncoder().encode(JSON.stringify(input) ?? '').length;
	return bytes > maximumConfigurationBytes
		? [{place: 'lists', message: `take ${bytes} bytes, more than ${maximumConfigurationBytes}`}]
		: [];
}
