import {entrySettings, startEntry} from '#entry';
import {runDaemon} from '#kernel';

runDaemon('dotterelnotch-entry', 'Accepts requests and jobs of callers and schedules them', entrySettings, startEntry);
