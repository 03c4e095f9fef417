/** Calls fail with `overloaded` while more bytes than this wait in a connection's send buffer. */
export const maximumBufferedBytes = 4_000_000;
/** How often a connection checks for silence. */
export const livenessCheckIntervalMilliseconds = 500;
/** How long dialling may take. */
export const peerConnectTimeoutMilliseconds = 2000;
/** Largest body of a caller's request, in bytes. */
export const maximumBodyBytes = 1_048_576;
/** Largest total of a caller's request headers, in bytes. */
export const maximumHeaderBytes = 16_384;
/** A sender that has not finished its headers by then is cut off. */
export const headersTimeoutMilliseconds = 5000;
/** A sender that has not finished its request by then is cut off. */
export const requestTimeoutMilliseconds = 10_000;
export const keepAliveTimeoutMilliseconds = 30_000;
export const maximumHttpConnections = 2000;
export const maximumPeerConnections = 2000;
