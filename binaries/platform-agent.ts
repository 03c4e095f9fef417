import {runDaemon} from '#kernel';
import {startSupervisor, supervisorSettings} from '#supervisor';
import '#platform/agent/index.js';

runDaemon('dotterelnotch-platform-agent', 'Supervises the runs of the worker beside it on the users\' platform', supervisorSettings, startSupervisor);
