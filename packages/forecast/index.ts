export * from './types.js';
export * from './constants.js';
export * from './forecast.js';
export * from './estimate.js';
export * from './decide.js';
export * from './share.js';
export * from './track.js';
export {workOf, roomOfTask, roomOfUnit} from './amounts.js';
