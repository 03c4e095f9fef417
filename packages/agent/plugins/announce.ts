import type {Cancel} from '#kernel';
import {reportIntervalMilliseconds} from '#protocol';
import {dialPeer, type RpcPeer} from '#transport';
import {agentPlugins} from '../plugins.js';
import type {AgentContext} from '../types.js';
import {executionService} from './execution.js';

const callTimeoutMilliseconds = 5000;
const redialDelayMilliseconds = 500;

agentPlugins.register({
	kind: 'task',
	name: 'announce',
	start(context) {
		const cancels = context.settings.entries.map(address => keepConnected(address, context));
		return () => {
			for (const cancel of cancels) {
				cancel();
			}
		};
	},
});

/** Keeps one connection to an entry open and announced. */
function keepConnected(address: string, context: AgentContext): Cancel {
	const log = context.log.part('announce');
	let isStopped = false;
	let current: RpcPeer | undefined;

	const connect = async () => {
		const peer = await dialPeer(address, {
			registry: agentPlugins, context, clock: context.clock, log,
		});
		if (isStopped) {
			peer?.close('agent stops');
			return;
		}

		if (peer === undefined) {
			redial();
			return;
		}

		current = peer;
		peer.onClosed(redial);
		const reply = await peer.call('agent.announce', describeAgent(context), callTimeoutMilliseconds);
		if (reply.kind === 'failed') {
			peer.close(reply.message);
			return;
		}

		log.info({address, entry: reply.result.entry}, 'announced');
		report(peer);
	};

	const redial = () => {
		if (!isStopped) {
			context.clock.schedule(redialDelayMilliseconds, () => {
				void connect();
			});
		}
	};

	const report = (peer: RpcPeer) => {
		context.clock.schedule(reportIntervalMilliseconds, () => {
			if (peer.isOpen()) {
				const {load, configurationRevision, layoutRevision} = describeAgent(context);
				void peer.call('agent.report', {load, configurationRevision, layoutRevision}, callTimeoutMilliseconds);
				report(peer);
			}
		});
	};

	void connect();
	return () => {
		isStopped = true;
		current?.close('agent stops');
	};
}

function describeAgent(context: AgentContext) {
	const {worker, region, zone, rack, slots, connections, processors, accelerators} = context.settings;
	const records = [...context.services.use(executionService).read().records.values()];
	return {
		worker,
		incarnation: context.incarnation,
		region,
		zone,
		rack,
		capacity: {
			slots, connections, processors, memoryMegabytes: context.settings['memory-megabytes'], accelerators,
		},
		load: {
			shortQueued: records.filter(({kind}) => kind === 'queued').length,
			shortRunning: records.filter(({kind}) => kind === 'running').length,
			longQueued: 0,
			longRunning: 0,
			started: 0,
			failed: 0,
		},
		holdings: [],
		configurationRevision: 0,
		layoutRevision: 0,
		leaving: false,
	};
}
