import {coordinatorSettings, startCoordinator} from '#coordinator';
import {runDaemon} from '#kernel';
import '#platform/entry/index.js';

runDaemon('dotterelnotch-platform-entry', 'Accepts jobs on the users\' platform and schedules them', coordinatorSettings, startCoordinator);
