import {registerOperatorRoutes} from '#transport';
import {supervisorPlugins} from '../plugins.js';
import {supervisionService} from './supervision.js';

registerOperatorRoutes(supervisorPlugins, ({services}) => services.use(supervisionService).read().worker === undefined ? {kind: 'not-ready', reason: 'no-worker'} : {kind: 'ready'});
