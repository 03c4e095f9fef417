import type {GenericSchema} from 'valibot';
import {agentAnswerSchema} from '#core';
import {
	announceParametersSchema, announceResultSchema, commitParametersSchema, emptySchema, endedParametersSchema, peerExchangeParametersSchema,
	peerExchangeResultSchema, findParametersSchema, findResultSchema, forwardParametersSchema, gangAnswerSchema, gangFindParametersSchema,
	gangFindResultSchema, leavingParametersSchema, renewParametersSchema, renewResultSchema, reportParametersSchema, reportResultSchema,
	reserveParametersSchema, runParametersSchema, startParametersSchema, stopParametersSchema, stopResultSchema, withdrawParametersSchema,
	withdrawResultSchema,
} from './types.js';
import {
	attachParametersSchema, attachResultSchema, checkStoreResultSchema, countPendingParametersSchema, countPendingResultSchema,
	entryExchangeParametersSchema, entryExchangeResultSchema, fetchConfigurationResultSchema, forwardedAnswerSchema, forwardedCallSchema,
	schedulerAnnouncementSchema, renewWorkerParametersSchema, renewWorkerResultSchema, startTasksParametersSchema, startTasksResultSchema,
	showZonesResultSchema, stopTasksParametersSchema, stopTasksResultSchema, takeOverParametersSchema,
} from './scheduling.js';
import {explainParametersSchema, explainResultSchema} from './explain.js';

/** All JSON-RPC methods between processes, with their parameter and result schemas. */
export const methods = {
	'agent.announce': {parameters: announceParametersSchema, result: announceResultSchema},
	'agent.report': {parameters: reportParametersSchema, result: reportResultSchema},
	'agent.leaving': {parameters: leavingParametersSchema, result: emptySchema},
	'request.run': {parameters: runParametersSchema, result: agentAnswerSchema},
	'request.find': {parameters: findParametersSchema, result: findResultSchema},
	'request.withdraw': {parameters: withdrawParametersSchema, result: withdrawResultSchema},
	'gang.reserve': {parameters: reserveParametersSchema, result: gangAnswerSchema},
	'gang.commit': {parameters: commitParametersSchema, result: gangAnswerSchema},
	'gang.start': {parameters: startParametersSchema, result: gangAnswerSchema},
	'gang.renew': {parameters: renewParametersSchema, result: renewResultSchema},
	'gang.stop': {parameters: stopParametersSchema, result: stopResultSchema},
	'gang.find': {parameters: gangFindParametersSchema, result: gangFindResultSchema},
	'gang.ended': {parameters: endedParametersSchema, result: emptySchema},
	'peer.forward': {parameters: forwardParametersSchema, result: agentAnswerSchema},
	'peer.exchange': {parameters: peerExchangeParametersSchema, result: peerExchangeResultSchema},
	'worker.attach': {parameters: attachParametersSchema, result: attachResultSchema},
	'worker.renew': {parameters: renewWorkerParametersSchema, result: renewWorkerResultSchema},
	'worker.lead': {parameters: schedulerAnnouncementSchema, result: emptySchema},
	'worker.start': {parameters: startTasksParametersSchema, result: startTasksResultSchema},
	'worker.stop': {parameters: stopTasksParametersSchema, result: stopTasksResultSchema},
	'entry.exchange': {parameters: entryExchangeParametersSchema, result: entryExchangeResultSchema},
	'entry.fetch-configuration': {parameters: emptySchema, result: fetchConfigurationResultSchema},
	'entry.call': {parameters: forwardedCallSchema, result: forwardedAnswerSchema},
	'entry.count-pending': {parameters: countPendingParametersSchema, result: countPendingResultSchema},
	'entry.show-zones': {parameters: emptySchema, result: showZonesResultSchema},
	'entry.explain': {parameters: explainParametersSchema, result: explainResultSchema},
	'entry.check-store': {parameters: emptySchema, result: checkStoreResultSchema},
	'entry.take-over': {parameters: takeOverParametersSchema, result: emptySchema},
	probe: {parameters: emptySchema, result: emptySchema},
} as const satisfies Readonly<Record<string, Readonly<{parameters: GenericSchema; result: GenericSchema}>>>;

export type MethodName = keyof typeof methods;
