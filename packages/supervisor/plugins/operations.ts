import {registerOperations} from '#transport';
import {supervisorPlugins} from '../plugins.js';
import {supervisionService} from './supervision.js';

registerOperations(supervisorPlugins, ({services}) => services.use(supervisionService).read().worker === undefined ? {kind: 'not-ready', reason: 'no-worker'} : {kind: 'ready'});
