export * from './types.js';
export * from './constants.js';
export {lateCallMilliseconds} from '#jobs';
export * from './deadlines.js';
export * from './describe.js';
export * from './receive.js';
export * from './state.js';
export * from './entry-choice.js';
