/** Exchanges of bytes with a listener whose bounds are low. */
import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {silentLog} from '#kernel';
import {
	openHttpListener, type HttpHandler, type HttpListener, type ListenerLimits,
} from '#transport';

const lowLimits: ListenerLimits = {
	maximumConnections: 4, maximumBodyBytes: 1000, budgetBytes: 20_000, teamBytes: 20_000, unreadAnswerMilliseconds: 200,
};

/** Larger than what the kernel keeps of an unread answer. */
const largeAnswerBytes = 64_000_000;

const requestOf = (path: string, body = '', header = '') => `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n${header}\r\n${body}`;
const headOf = (header: string) => `POST / HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n`;
const chunkOf = (bytes: number) => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

type Client = Readonly<{socket: Socket; text(): string; isClosed(): boolean}>;

async function sleep(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

async function waitUntil(what: string, isTrue: () => boolean): Promise<void> {
	for (let attempt = 0; !isTrue(); attempt++) {
		if (attempt === 500) {
			throw new Error(`timed out waiting for ${what}`);
		}

		await sleep(10);
	}
}

describe('connections of an HTTP listener', () => {
	let listener: HttpListener;
	let handled: string[] = [];
	let active = 0;
	let mostActive = 0;
	let refusals: string[] = [];
	let clients: Client[] = [];

	const handle: HttpHandler = async (request, response, text) => {
		const {url = ''} = request;
		handled.push(url);
		active++;
		mostActive = Math.max(mostActive, active);
		await sleep(url.startsWith('/slow') ? 300 : 2);
		active--;
		response.end(url === '/large' ? 'x'.repeat(largeAnswerBytes) : `${url} ${text.length};`);
	};

	const open = async (text: string): Promise<Client> => {
		const socket = connect(listener.port, '127.0.0.1');
		let received = '';
		let isClosed = false;
		socket.setEncoding('utf8');
		socket.on('data', (data: string) => {
			received += data;
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			isClosed = true;
		});
		socket.write(text);
		const client: Client = {socket, text: () => received, isClosed: () => isClosed};
		clients.push(client);
		await new Promise(resolve => {
			socket.once('connect', resolve);
		});
		return client;
	};

	const start = async (limits: ListenerLimits) => {
		handled = [];
		refusals = [];
		clients = [];
		mostActive = 0;
		listener = await openHttpListener('127.0.0.1', 0, {
			limits,
			log: silentLog.withPrefix('test'),
			countRefusal(reason) {
				refusals.push(reason);
			},
			encodeRefusal: ({status, reason}) => ({headers: status === 504 ? {'retry-after': '1'} : {}, body: reason}),
			findTeam: () => undefined,
		}, handle);
	};

	afterEach(async () => {
		for (const {socket} of clients) {
			socket.destroy();
		}

		await listener.drain();
	});

	type Case = Readonly<{name: string; limits?: Partial<ListenerLimits>; run(): Promise<void>}>;

	const cases: readonly Case[] = [
		{
			name: 'pipelined requests are handled one after another and answered in order (memory for thousands of requests of one client)',
			async run() {
				const paths = Array.from({length: 200}, (_, index) => `/${index}`);
				const client = await open(paths.map(path => requestOf(path, 'body')).join(''));
				await waitUntil('answers', () => client.text().includes('/199 4;'));
				expect(handled).to.deep.equal(paths);
				expect([...client.text().matchAll(/\/\d+(?= 4;)/g)].map(([path]) => path)).to.deep.equal(paths);
				expect(mostActive).to.equal(1);
			},
		},
		{
			name: 'requests whose answers are not read are not handled beyond a few (unread answers fill the memory)',
			limits: {budgetBytes: 2 * largeAnswerBytes, teamBytes: 2 * largeAnswerBytes},
			async run() {
				const client = await open('');
				client.socket.pause();
				client.socket.write(requestOf('/large') + requestOf('/a').repeat(500));
				await waitUntil('closing of the connection', () => refusals.length > 0);
				expect(refusals).to.deep.equal(['answer-not-read']);
				expect(handled).to.deep.equal(['/large']);
			},
		},
		{
			name: 'an announced body over the limit is refused before it is sent (bytes read in vain)',
			async run() {
				const client = await open(headOf('content-length: 1001'));
				await waitUntil('refusal', () => client.text().includes('body-too-large'));
				expect(client.text()).to.match(/^HTTP\/1\.1 413 /);
				await waitUntil('closing of the connection', client.isClosed);
				expect(handled).to.deep.equal([]);
			},
		},
		{
			name: 'a body over the limit without announcement is refused at the limit (bytes read in vain)',
			async run() {
				const client = await open(headOf('transfer-encoding: chunked') + chunkOf(600) + chunkOf(600));
				await waitUntil('refusal', () => client.text().includes('body-too-large'));
				expect(client.text()).to.match(/^HTTP\/1\.1 413 /);
				expect(handled).to.deep.equal([]);
			},
		},
		{
			name: 'a body of exactly the limit is served, also in small chunks (ordinary caller refused)',
			async run() {
				const client = await open(`${headOf('transfer-encoding: chunked')}${chunkOf(1).repeat(1000)}0\r\n\r\n`);
				await waitUntil('answer', () => client.text().includes('/ 1000;'));
			},
		},
		{
			name: 'a client that waits for 100 Continue is told to go on (client that waits for ever)',
			async run() {
				const client = await open(headOf('content-length: 3\r\nexpect: 100-continue'));
				await waitUntil('100 Continue', () => client.text().startsWith('HTTP/1.1 100 '));
				client.socket.write('abc');
				await waitUntil('answer', () => client.text().includes('/ 3;'));
			},
		},
		{
			name: 'a client that would send too much is refused and not told to go on (bytes read in vain)',
			async run() {
				const client = await open(headOf('content-length: 1001\r\nexpect: 100-continue'));
				await waitUntil('refusal', () => client.text().includes('body-too-large'));
				expect(client.text()).to.match(/^HTTP\/1\.1 413 /);
			},
		},
		{
			name: 'an idle connection gives way to a new one at the maximum (silent clients hold all places)',
			async run() {
				const silent = await Promise.all(Array.from({length: lowLimits.maximumConnections}, async () => open('')));
				const client = await open(requestOf('/new'));
				await waitUntil('answer', () => client.text().includes('/new 0;'));
				await waitUntil('closing of a connection', () => silent.some(({isClosed}) => isClosed()));
				expect(silent.filter(({isClosed}) => isClosed())).to.have.length(1);
				expect(refusals).to.deep.equal(['connection-replaced']);
			},
		},
		{
			name: 'a new connection is refused while a request of each is being handled (request cut off)',
			async run() {
				const busy = await Promise.all(Array.from({length: lowLimits.maximumConnections}, async (_, index) => open(requestOf(`/slow-${index}`))));
				await waitUntil('requests', () => handled.length === lowLimits.maximumConnections);
				const client = await open(requestOf('/new'));
				await waitUntil('closing of the connection', client.isClosed);
				await waitUntil('answers', () => busy.every(({text}) => text().includes(' 0;')));
				expect(handled).not.to.include('/new');
				expect(refusals).to.deep.equal(['too-many-connections']);
			},
		},
		{
			name: 'a refusal for room says when to retry, does not claim that no attempt ran, and the request never runs (false refusal of a retry)',
			async run() {
				// Headers that do not end count as well.
				const holders = await Promise.all(['a', 'b', 'c'].map(async name => open(`POST /${name} HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(8000)}`)));
				await waitUntil('refusal', () => holders.some(({text}) => text() !== ''));
				const refused = holders.find(({text}) => text() !== '');
				expect(refused?.text()).to.match(/^HTTP\/1\.1 504 .*\r\nretry-after: 1\r\n/);
				const client = await open(requestOf('/ordinary'));
				await waitUntil('answer', () => client.text().includes('/ordinary 0;'));
				expect(handled).to.deep.equal(['/ordinary']);
			},
		},
		{
			name: 'a stopping listener answers the request being handled, and closes the connection (request cut off by a planned stop)',
			async run() {
				const client = await open(requestOf('/slow'));
				await waitUntil('request', () => handled.length === 1);
				await listener.drain();
				await waitUntil('answer', () => client.text().includes('/slow 0;'));
				expect(client.text().toLowerCase()).to.include('connection: close');
			},
		},
		{
			name: 'a connection is used again after an answer (keep-alive lost)',
			async run() {
				const client = await open(requestOf('/first'));
				await waitUntil('answer', () => client.text().includes('/first 0;'));
				client.socket.write(requestOf('/second'));
				await waitUntil('answer', () => client.text().includes('/second 0;'));
			},
		},
	];

	for (const {name, limits = {}, run} of cases) {
		it(name, async () => {
			await start({...lowLimits, ...limits});
			await run();
		});
	}
});
