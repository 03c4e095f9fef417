export * from './types.js';
export * from './constants.js';
export * from './receive.js';
export {createReservationState, isSettled, listHoldings} from './state.js';
export {isOlder} from './conflicts.js';
