/** Encodes a configuration for other entries. Its routes resemble each other, so compression saves most of a slow link. */
import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {constants, gunzip, gzip} from 'node:zlib';
import {checkInput, parseJson, type CheckResult} from '#core';
import {schedulingConfigurationSchema, type SchedulingConfiguration} from '#jobs';

/** Limit of the uncompressed text: several times the largest value that the store accepts. */
const maximumTextBytes = 8_000_000;

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Returns compressed JSON in base64. */
export async function encodeConfiguration(configuration: SchedulingConfiguration): Promise<string> {
	const compressed = await compress(JSON.stringify(configuration), {level: constants.Z_BEST_SPEED});
	return compressed.toString('base64');
}

/**
Decodes and checks what another entry encoded.

@example
```
await decodeConfiguration(await encodeConfiguration({version: 3, queues: [], tenants: []}));
//=> {kind: 'valid', value: {version: 3, queues: [], tenants: []}}
```
*/
export async function decodeConfiguration(encoded: string): Promise<CheckResult<SchedulingConfiguration>> {
	try {
		const text = await decompress(Buffer.from(encoded, 'base64'), {maxOutputLength: maximumTextBytes});
		return checkInput(schedulingConfigurationSchema, parseJson(text.toString('utf8')), 'configuration');
	} catch (error) {
		return {kind: 'invalid', findings: [{place: 'configuration', message: `cannot be decoded: ${String(error)}`}]};
	}
}
