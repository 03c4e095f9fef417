export * from './types.js';
export * from './constants.js';
export * from './receive.js';
export {createReservationState, listHoldings} from './state.js';
export {isOlder} from './conflicts.js';
