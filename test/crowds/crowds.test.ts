/** Each case starts one program and one crowd; the file runs alone, since a bound on memory says little beside other load. */
import process from 'node:process';
import {expect} from 'chai';
import {startCrowd, type Behaviour} from '#test/support/crowds/client';
import {startProgram, type LoweredLimits, type PortName} from '#test/support/crowds/program';

const megabyte = 1_048_576;

type Case = Readonly<{name: string; port: PortName; behaviour: Behaviour; size: number; limits?: LoweredLimits; maximumDescriptors?: number}>;

/** Descriptors of a calm program, beside those of the crowd. */
const ownDescriptors = 64;
const maximumConnections = 60;
const connectionLimits: LoweredLimits = {
	DOTTERELNOTCH_MAXIMUM_CONNECTIONS: String(maximumConnections),
	DOTTERELNOTCH_OPERATIONS_CONNECTIONS: String(maximumConnections),
	DOTTERELNOTCH_HANDSHAKE_CONNECTIONS: String(maximumConnections),
};
const bodyLimit: LoweredLimits = {DOTTERELNOTCH_MAXIMUM_BODY_BYTES: '65536'};

const largeChunks: Behaviour = {kind: 'unfinished-chunks', bytes: megabyte - 65_536, chunkBytes: 65_536};
const announced: Behaviour = {kind: 'announced', announcedBytes: 100 * megabyte, sentBytes: megabyte - 65_536};
const unreadReads: Behaviour = {kind: 'pipelined', requests: 2000, method: 'GET'};
const unreadSubmissions: Behaviour = {kind: 'pipelined', requests: 1000, method: 'POST'};
const smallChunks: Behaviour = {kind: 'unfinished-chunks', bytes: 8000, chunkBytes: 1};
const emptySteps: Behaviour = {kind: 'wrong-steps', steps: 349_000, step: '{}'};
const silent: Behaviour = {kind: 'silent'};

const cases: readonly Case[] = [
	{
		name: 'bodies in large chunks that never end, at the callers\' port', port: 'front', behaviour: largeChunks, size: 300,
	},
	{
		name: 'bodies in chunks of one byte that never end, at the callers\' port', port: 'front', behaviour: smallChunks, size: 200,
	},
	{
		name: 'announced bodies far over the limit, at the callers\' port', port: 'front', behaviour: announced, size: 300,
	},
	{
		name: 'bodies over the limit without announcement, at the callers\' port', port: 'front', behaviour: largeChunks, size: 300, limits: bodyLimit,
	},
	{
		name: 'reads of unknown jobs whose answers are not read, at the callers\' port', port: 'front', behaviour: unreadReads, size: 60,
	},
	{
		name: 'submissions with a new key each whose answers are not read, at the callers\' port', port: 'front', behaviour: unreadSubmissions, size: 60,
	},
	{
		name: 'bodies of many steps that do not fit the schema, at the callers\' port', port: 'front', behaviour: {kind: 'wrong-steps', steps: 500_000, step: '0'}, size: 10,
	},
	{
		name: 'bodies of many empty steps, at the callers\' port', port: 'front', behaviour: emptySteps, size: 10,
	},
	{
		name: 'bodies of many empty steps, at the announcements of an agent', port: 'announcements', behaviour: emptySteps, size: 10,
	},
	{
		name: 'connections that send nothing, at the callers\' port', port: 'front', behaviour: silent, size: 200, limits: connectionLimits, maximumDescriptors: maximumConnections + ownDescriptors,
	},
	{
		name: 'connections that send nothing, at the readiness port', port: 'readiness', behaviour: silent, size: 200, limits: connectionLimits, maximumDescriptors: maximumConnections + ownDescriptors,
	},
	{
		name: 'connections that send nothing, at the metrics port', port: 'entry-metrics', behaviour: silent, size: 200, limits: connectionLimits, maximumDescriptors: maximumConnections + ownDescriptors,
	},
	{
		name: 'connections without a handshake, at the peer port', port: 'peers', behaviour: silent, size: 200, limits: connectionLimits, maximumDescriptors: maximumConnections + ownDescriptors,
	},
	{
		name: 'bodies in large chunks that never end, at the announcements of an agent', port: 'announcements', behaviour: largeChunks, size: 300,
	},
	{
		name: 'bodies in chunks of one byte that never end, at the announcements of an agent', port: 'announcements', behaviour: smallChunks, size: 200,
	},
	{
		name: 'requests whose answers are not read, at the announcements of an agent', port: 'announcements', behaviour: unreadReads, size: 60,
	},
	{
		name: 'connections that send nothing, at the announcements of an agent', port: 'announcements', behaviour: silent, size: 200, limits: connectionLimits, maximumDescriptors: maximumConnections + ownDescriptors,
	},
	{
		name: 'bodies in large chunks that never end, at the metrics port of an agent', port: 'agent-metrics', behaviour: largeChunks, size: 300,
	},
];

const paths: Readonly<Record<PortName, Readonly<{method: 'POST' | 'PUT'; path: string}>>> = {
	front: {method: 'POST', path: '/batch/00000000000000d1'},
	readiness: {method: 'POST', path: '/'},
	'entry-metrics': {method: 'PUT', path: '/v1/log-level'},
	peers: {method: 'POST', path: '/'},
	announcements: {method: 'PUT', path: '/v1/instances/i-1'},
	'agent-metrics': {method: 'PUT', path: '/v1/log-level'},
};

describe('crowds of clients outside the limits', () => {
	for (const {
		name, port, behaviour, size, limits = {}, maximumDescriptors = Infinity,
	} of cases) {
		it(`${name}: the program stays within its machine and serves an ordinary client (process ended or out of memory, callers without an answer)`, async () => {
			const program = await startProgram(port, limits);
			try {
				await program.serveOrdinary('00000000000000a1');
				const crowd = startCrowd({address: program.address, ...paths[port]}, behaviour, size);
				try {
					await crowd.settle();
					expect(program.isRunning()).to.equal(true);
					const [peakBytes, descriptors] = await Promise.all([program.readPeakBytes(), program.countDescriptors()]);
					if (process.env['REPORT_CROWDS'] !== undefined) {
						console.log(`${name}: ${Math.round(peakBytes / 1_000_000)} MB, ${descriptors} descriptors`);
					}

					expect(peakBytes).to.be.below(program.machineBytes);
					expect(descriptors).to.be.below(maximumDescriptors);
					await program.serveOrdinary('00000000000000a2');
					// The job that was accepted before is still known.
					await program.serveOrdinary('00000000000000a1');
					expect(program.isRunning()).to.equal(true);
				} finally {
					crowd.close();
				}
			} finally {
				await program.stop();
			}
		});
	}
});
