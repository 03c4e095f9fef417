import {agentSettings, startAgent} from '#agent';
import {runDaemon} from '#kernel';

runDaemon('dotterelnotch-agent', 'Runs scheduled work on the worker beside it', agentSettings, startAgent);
