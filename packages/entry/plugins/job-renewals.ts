import {gangLeaseMilliseconds, gangRenewIntervalMilliseconds} from '#protocol';
import {callAgent} from '../jobs/call-agent.js';
import {groupRenewals, type RenewalGroup} from '../jobs/renewals.js';
import {jobsService} from '../jobs/service.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';

entryPlugins.register({
	kind: 'task',
	name: 'job-renewals',
	start(context) {
		let cancel = schedule();
		return () => {
			cancel();
		};

		function schedule() {
			return context.clock.schedule(gangRenewIntervalMilliseconds, () => {
				for (const group of groupRenewals(context.services.use(jobsService).list().map(driver => driver.read()))) {
					void renewGroup(group, context);
				}

				cancel = schedule();
			});
		}
	},
});

/** Renews while the store is unavailable as well, because no other entry can adopt a job then. */
async function renewGroup({place, gangs}: RenewalGroup, context: EntryContext): Promise<void> {
	const jobs = context.services.use(jobsService);
	const reply = await callAgent(context, place, 'gang.renew', {gangs, leaseMilliseconds: gangLeaseMilliseconds});
	for (const {job, raiseTo} of gangs) {
		const message = {worker: place.worker, attempt: raiseTo ?? 0};
		switch (reply.kind) {
			case 'result': {
				const isLapsed = reply.result.lapsed.some(lapsed => lapsed.job === job);
				const isEnded = reply.result.ended.some(ended => ended.job === job);
				jobs.find(job)?.send({kind: isLapsed ? 'lapsed' : (isEnded ? 'members-ended' : 'renewed'), ...message});
				break;
			}

			case 'unreachable': {
				jobs.find(job)?.send({kind: 'renewal-failed', ...message});
				break;
			}

			case 'gone': {
				jobs.find(job)?.send({kind: 'lapsed', ...message});
			}
		}
	}
}
