import type {Milliseconds} from '#core';

/** How long a call to a worker that got no answer may still be carried out, also by a later incarnation with the same identifier. The platform's workers do so up to 12 s later. */
export const lateCallMilliseconds: Milliseconds = 13_000;
