import {runDaemon} from '#kernel';
import {startSupervisor, supervisorSettings} from '#supervisor';
import '#platform/agent/index.js';

runDaemon('dotterelnotch-platform-agent', 'Keeps the runs of the worker beside it alive on the users\' platform', supervisorSettings, startSupervisor);
